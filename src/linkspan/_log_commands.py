"""Commands that read the logs of hosts; they call nobody."""

from __future__ import annotations

from pathlib import Path

from linkspan.errors import Refused


class LogCommands:
    """What the command line tells from log files."""

    def trace(self, job_id: str, *logs: str) -> None:
        """Print what hosts logged of a job, in order, and which tasks were started again.

        Args:
            job_id: The caller's id of the job.
            logs: Paths of log files of any hosts.
        """
        from linkspan.trace import summary, trace

        lines = [line for path in logs for line in Path(path).read_bytes().splitlines()]
        found = trace(str(job_id), lines)
        for line in found:
            print(line)
        if not found:
            raise Refused(f"no line names job {job_id}; give the logs of all hosts")
        for text in summary(found):
            print(text)

    def report(self, *logs: str) -> None:
        """Print what the jobs' time went to, by queue, hall and span of time.

        Lines that are no log lines are counted and passed over.

        Args:
            logs: Paths of log files of any hosts; each is read once, in its order.
        """
        from linkspan.report import LogReader, render

        reader = LogReader()
        for path in logs:
            with Path(path).open("rb") as lines:
                reader.read(lines)
        if not reader.times:
            raise Refused("no end of a job was read; give the logs of all hosts")
        print(render(reader))
