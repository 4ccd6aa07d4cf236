"""Phases of a caller's connection."""

from __future__ import annotations

from enum import Enum, auto


class Phase(Enum):
    """What a connection is doing."""

    IDLE = auto()
    """Between two requests, or before the first one."""

    HEAD = auto()
    """The head of a request is arriving."""

    BODY = auto()
    """The body of a request is arriving."""

    BUSY = auto()
    """The whole request has arrived, and its handler works."""

    WRITING = auto()
    """The caller has not yet read the whole response."""

    CLOSING = auto()
    """The last response is sent; what still arrives is discarded until the caller closes."""
