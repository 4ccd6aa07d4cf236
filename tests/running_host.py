"""A host's process in virtual time."""

from __future__ import annotations

import asyncio
from contextvars import Context
from dataclasses import dataclass

from linkspan.host.host import Host
from tests.virtual_time import HOST


@dataclass
class RunningHost:
    """A host's process."""

    host: Host
    task: asyncio.Task[None]
    context: Context

    @property
    def process(self) -> str:
        """Name of the process: the host's and its life's."""
        return self.context[HOST]
