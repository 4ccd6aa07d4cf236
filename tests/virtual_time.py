"""An event loop whose time passes only when nothing is left to do."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections import defaultdict
from collections.abc import Callable, Coroutine
from contextvars import Context, ContextVar
from typing import Any, TypeVar
from unittest.mock import patch

T = TypeVar("T")

EPOCH = 1_700_000_000.0
"""Time of day at steady time 0."""


HOST: ContextVar[str] = ContextVar("HOST", default="")
"""Name of the host whose process a task belongs to; empty outside of all."""


class _Selector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("nothing will ever happen again")
        self.now += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        self._frozen: set[str] = set()
        self._held: defaultdict[str, list[_Guard]] = defaultdict(list)
        self._suspended_at: dict[str, float] = {}
        self._suspended_s: defaultdict[str, float] = defaultdict(float)
        super().__init__(self._virtual)

    @property
    def world_s(self) -> float:
        """Time that goes on for all, whichever host asks."""
        return self._virtual.now

    def time(self) -> float:
        """Return the steady time of the host that asks: its suspensions do not count."""
        return self._virtual.now - self._suspended_s[HOST.get()]

    def suspended_s(self, host: str) -> float:
        """Return for how long a host has been suspended so far."""
        return self._suspended_s[host]

    def freeze(self, host: str) -> None:
        """Let nothing of a host run any more, as when its process is stopped."""
        self._frozen.add(host)

    def thaw(self, host: str) -> None:
        """Let a host run again, with all that came due meanwhile, in order."""
        self._frozen.discard(host)
        for held in self._held.pop(host, ()):
            super().call_soon(held, context=held.context)

    def suspend(self, host: str) -> None:
        """Suspend a host's machine: nothing of it runs, and its steady clock stands."""
        self._suspended_at[host] = self._virtual.now
        self._frozen.add(host)

    def resume(self, host: str) -> None:
        """Let a suspended machine go on: its timers are due as much later as it stood."""
        self._suspended_s[host] += self._virtual.now - self._suspended_at.pop(host)
        self._frozen.discard(host)
        for held in self._held.pop(host, ()):
            if not held.put_off():
                super().call_soon(held, context=held.context)

    def thaw_all(self) -> None:
        """Let all hosts run again."""
        for host in list(self._frozen):
            self.thaw(host)

    def call_soon(
        self, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.Handle:
        guard = _Guard(self, callback, args, context)
        guard.handle = super().call_soon(guard, context=context)
        return guard.handle

    def call_at(
        self, when: float, callback: Callable[..., Any], *args: Any, context: Context | None = None
    ) -> asyncio.TimerHandle:
        guard = _Guard(self, callback, args, context)
        guard.due = when + self._suspended_s[HOST.get()]
        timer = super().call_at(guard.due, guard, context=context)
        guard.handle = timer
        return timer

    def call_again(self, guard: _Guard, due: float) -> None:
        """Call a timer's callback at a later time; its handle still cancels it."""
        super().call_at(due, guard, context=guard.context)

    def hold(self, guard: _Guard) -> bool:
        """Keep a callback of a host that stands still, and return whether it does."""
        if guard.host not in self._frozen:
            return False
        self._held[guard.host].append(guard)
        return True


class _Guard:
    """A callback that waits while its host stands still."""

    def __init__(
        self,
        loop: VirtualLoop,
        callback: Callable[..., Any],
        args: tuple[Any, ...],
        context: Context | None,
    ) -> None:
        self._loop = loop
        self._callback = callback
        self._args = args
        self.context = context
        self.host = HOST.get() if context is None else context.get(HOST, "")
        self.handle: asyncio.Handle | None = None
        self.due: float | None = None
        self._suspended_s = loop.suspended_s(self.host)

    def put_off(self) -> bool:
        """Put a timer off by what its host was suspended since it was set, if it was."""
        since_s = self._loop.suspended_s(self.host) - self._suspended_s
        if self.due is None or not since_s:
            return False
        self._suspended_s += since_s
        self.due += since_s
        self._loop.call_again(self, self.due)
        return True

    def __call__(self) -> None:
        if self.handle and self.handle.cancelled():
            # Cancelled while it was held.
            return
        if self.host and self.put_off():
            return
        if not self.host or not self._loop.hold(self):
            self._callback(*self._args)


def virtual_loop() -> VirtualLoop:
    """Return the running loop."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    return loop


def world_time() -> float:
    """Return the time that goes on for all, in a virtual world or not."""
    loop = asyncio.get_running_loop()
    return loop.world_s if isinstance(loop, VirtualLoop) else loop.time()


def run_virtual(
    work: Coroutine[Any, Any, T], *, limit_s: float = 600.0, suspensions_count: bool = True
) -> T:
    """Run a coroutine to its end in virtual time.

    Args:
        work: The coroutine.
        limit_s: Longest time, which is virtual, too.
        suspensions_count: Whether the clock of the product counts suspensions of its host;
            taken out to show what that protects.
    """
    loop = VirtualLoop()
    clock_s = (lambda: loop.world_s) if suspensions_count else loop.time

    async def bounded() -> T:
        async with asyncio.timeout(limit_s):
            return await work

    with (
        patch.object(time, "monotonic", loop.time),
        patch.object(time, "clock_gettime", lambda _clock: clock_s()),
        patch.object(time, "time", lambda: EPOCH + loop.world_s),
    ):
        try:
            return loop.run_until_complete(bounded())
        finally:
            _cancel_all(loop)
            loop.close()


def _cancel_all(loop: VirtualLoop) -> None:
    loop.thaw_all()
    tasks = asyncio.all_tasks(loop)
    for task in tasks:
        task.cancel()
    if tasks:
        loop.run_until_complete(asyncio.gather(*tasks, return_exceptions=True))
