"""Causes for which a host refuses jobs."""

from __future__ import annotations

from enum import Enum


class RefusalCause(Enum):
    """Cause of a refusal, as callers and operators read it."""

    RECORDS_NOT_READ = "job records not read yet"
    STORE_AWAY = "store is away"
    STORE_REFUSED = "store refused"
    WRITER_REPLACED = "this host's writer was replaced"
    INCOMPLETE = "request did not arrive whole"
    OVERSIZED = "larger than any executor of the service"
    UNREAD = "other large jobs were read before it for too long"
    UNSTORABLE = "the record of the job exceeds what the store takes"
    NO_ROOM = "no hall has room for a standing task of it beside short work"
    CANCELLED = "it was cancelled before it was submitted"
    MEMORY = "the jobs of the halls that could run it take all memory that they may"
    HOPELESS = "it could no longer be of use when done"
