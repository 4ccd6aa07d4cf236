"""Timeouts and size limits of calls to the store."""

from __future__ import annotations

IDLE_TIMEOUT_S = 1.0
"""Time without a received byte, in seconds, after which a call fails; a wait that the call
asks for comes on top. A healthy store answers in under 20 ms and a slow one (60 times slower)
in under 0.6 s. A response that keeps arriving does not time out: a retry would transfer all of
it over the link again."""

MIN_BYTES_PER_S = 64 * 1024
"""Bandwidth of the slowest link that a host must work on: half a megabit per second."""

MAX_PAGE_BYTES = 1024 * 1024
"""Limits the bytes that a store returns in one page of keys."""

MAX_RESPONSE_S = IDLE_TIMEOUT_S + MAX_PAGE_BYTES / MIN_BYTES_PER_S
"""Limits the time for a whole response, in seconds, however steadily its bytes arrive."""

MAX_READ_BYTES = 320 * 1024
"""Limits the bytes requested in one read of records. It exceeds the largest record that stores
accept (256 KB) and takes half a second over a link of 5 Mbit/s. A read that fails loses nothing
of the reads before it."""
