"""Commands of the command line that analyse log files of hosts, without any network access."""

from __future__ import annotations

from pathlib import Path

from linkspan.errors import Refused


class LogCommands:
    """Commands that analyse log files."""

    def trace(self, job_id: str, *logs: str) -> None:
        """Print what hosts logged about a job, in order, and which tasks were started repeatedly.

        Args:
            job_id: The id that the caller gave the job.
            logs: Paths of the log files of any hosts.
        """
        from linkspan.trace import summary, trace

        lines = [line for path in logs for line in Path(path).read_bytes().splitlines()]
        found = trace(str(job_id), lines)
        for line in found:
            print(line)
        if not found:
            raise Refused(f"no log line contains job {job_id}; pass the logs of all hosts")
        for text in summary(found):
            print(text)

    def report(self, *logs: str) -> None:
        """Print how jobs spent their time, by queue, hall and time span.

        Lines that are not log lines are counted and skipped.

        Args:
            logs: Paths of the log files of any hosts; each is read once, in the given order.
        """
        from linkspan.report import LogReader, render

        reader = LogReader()
        for path in logs:
            with Path(path).open("rb") as lines:
                reader.read(lines)
        if not reader.times:
            raise Refused("the logs contain no end of a job; pass the logs of all hosts")
        print(render(reader))
