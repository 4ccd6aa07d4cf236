"""Bounds on calls to a store: what a host waits for, and how much it asks for at once."""

from __future__ import annotations

IDLE_TIMEOUT_S = 1.0
"""Time without a byte, in seconds, after which a call is given up, beside any wait asked
for. A healthy store answers in under 20 ms and a slow one (60 times slower) in under 0.6 s.
An answer that keeps coming is not given up: asking anew would fill the link once more."""

MIN_BYTES_PER_S = 64 * 1024
"""Slowest link that a host is to work on: half a megabit a second."""

MAX_PAGE_BYTES = 1024 * 1024
"""Most bytes that a store puts into one page of keys."""

MAX_RESPONSE_S = IDLE_TIMEOUT_S + MAX_PAGE_BYTES / MIN_BYTES_PER_S
"""Longest time for a whole answer, in seconds, however steadily its bytes come."""

MAX_READ_BYTES = 320 * 1024
"""Bytes asked for in one read of records: above the largest record that stores take
(256 KB), and half a second of a link of 5 Mbit/s. What came in earlier reads is kept when
one fails."""
