"""Responses to callers."""

from __future__ import annotations

from aiohttp import web

RETRY_AFTER_S = 1
"""Time after which a refused caller may retry, in seconds. Outages of the store last seconds.
If only this host has lost the store, the balancer has removed it by then."""

OVERSIZED_RETRY_AFTER_S = 60
"""Time after which a caller may retry a job that no executor is large enough for, in seconds:
adding a larger executor takes a minute or more."""

MAX_REASON_LENGTH = 200
"""Limits the reason that a response carries, in characters."""


def json_response(status: int, body: bytes, *, reason: str | None = None) -> web.Response:
    """Return a response with a JSON body, and with the reason for it in a header."""
    headers = None
    if reason:
        ascii_reason = reason.encode("ascii", "replace").decode()
        headers = {"X-Reason": ascii_reason[:MAX_REASON_LENGTH]}
    return web.Response(status=status, body=body, content_type="application/json", headers=headers)


def unavailable(reason: str, *, retry_after_s: int = RETRY_AFTER_S) -> web.Response:
    """Return the refusal of a request that this host can't serve now.

    Args:
        reason: Reason for the refusal.
        retry_after_s: Time after which the caller may retry, in seconds.
    """
    response = json_response(503, b'{"error":"not taken, it will not run"}', reason=reason)
    response.headers["Retry-After"] = str(retry_after_s)
    return response


def oversized(reason: str) -> web.Response:
    """Return the refusal of a job that no executor is large enough for."""
    response = json_response(429, b'{"error":"not taken, it will not run"}', reason=reason)
    response.headers["Retry-After"] = str(OVERSIZED_RETRY_AFTER_S)
    return response


def unstorable(reason: str) -> web.Response:
    """Return the refusal of a job that can never be stored."""
    return json_response(413, b'{"error":"not taken, it will not run"}', reason=reason)
