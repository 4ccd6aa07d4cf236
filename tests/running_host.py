"""A host's process in virtual time."""

from __future__ import annotations

import asyncio
from contextvars import Context
from dataclasses import dataclass

from linkspan.host.host import Host
from tests.virtual_time import HOST


@dataclass
class RunningHost:
    """One incarnation of a host: its object, its main task and its context."""

    host: Host
    task: asyncio.Task[None]
    context: Context

    @property
    def process(self) -> str:
        """Name of the process: the host's name and the number of its incarnation."""
        return self.context[HOST]
