"""Reports how jobs spent their time, from the logs of all hosts."""

from linkspan.report.reader import JobTimes, LogReader
from linkspan.report.table import render

__all__ = ["JobTimes", "LogReader", "render"]
