"""What one caller may make the process hold beside its request."""

from __future__ import annotations

RECEIVE_BUFFER_BYTES = 16 * 1024
"""Size of the kernel's receive buffer of a connection; the kernel may hold twice as much."""

READ_BYTES = 16 * 1024
"""Limits the bytes that are read from one connection before the next one's turn."""
