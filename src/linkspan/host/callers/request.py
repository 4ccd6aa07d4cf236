"""A caller's request, as its handler sees it."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from linkspan.host.callers.head import HeadFields, RequestHead


class Request:
    """Request whose body may still arrive.

    Args:
        head: Head of the request.
        read: Waits for the whole body and returns it.
    """

    def __init__(self, head: RequestHead, read: Callable[[], Awaitable[bytes]]) -> None:
        self._head = head
        self._read = read

    def __repr__(self) -> str:
        return f"Request({self.method} {self.path!r})"

    @property
    def method(self) -> str:
        """Method, for example ``POST``."""
        return self._head.method

    @property
    def path(self) -> str:
        """Path without the query."""
        return self._head.path

    @property
    def headers(self) -> HeadFields:
        """Header fields."""
        return self._head.headers

    async def read(self) -> bytes:
        """Return the whole body.

        Raises:
            BodyRefused: The body exceeds a limit, is not valid, or does not arrive.
        """
        return await self._read()
