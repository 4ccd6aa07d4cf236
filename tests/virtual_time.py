"""An event loop with virtual time, which advances only when no callback is ready."""

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
"""Wall-clock time at steady time 0."""


HOST: ContextVar[str] = ContextVar("HOST", default="")
"""Name of the host process that a task belongs to, empty outside of all hosts."""


class _Selector(selectors.SelectSelector):
    def __init__(self) -> None:
        super().__init__()
        self.now = 1_000.0

    def select(self, timeout: float | None = None) -> list[Any]:
        ready = super().select(0)
        if ready:
            return ready
        if timeout is None:
            raise RuntimeError("deadlock: no callback is ready and no timer is set")
        self.now += max(timeout, 0.0)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop with virtual time, whose hosts can be frozen and suspended."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        self._frozen: set[str] = set()
        self._deferred: defaultdict[str, list[_Guard]] = defaultdict(list)
        self._suspended_at: dict[str, float] = {}
        self._suspended_s: defaultdict[str, float] = defaultdict(float)
        super().__init__(self._virtual)

    @property
    def world_s(self) -> float:
        """Time that includes the suspensions of every host."""
        return self._virtual.now

    def time(self) -> float:
        """Return the steady time of the calling host, which excludes its suspensions."""
        return self._virtual.now - self._suspended_s[HOST.get()]

    def suspended_s(self, host: str) -> float:
        """Return the total duration of a host's suspensions that ended."""
        return self._suspended_s[host]

    def is_frozen(self, host: str) -> bool:
        """Return whether a host is frozen or suspended."""
        return host in self._frozen

    def freeze(self, host: str) -> None:
        """Defer all callbacks of a host, as when its process is stopped."""
        self._frozen.add(host)

    def thaw(self, host: str) -> None:
        """Run a host again, beginning with the deferred callbacks in their order."""
        self._frozen.discard(host)
        for deferred in self._deferred.pop(host, ()):
            super().call_soon(deferred, context=deferred.context)

    def suspend(self, host: str) -> None:
        """Suspend a host's machine: defer all its callbacks and stop its steady clock."""
        self._suspended_at[host] = self._virtual.now
        self._frozen.add(host)

    def resume(self, host: str) -> None:
        """Resume a suspended machine: its timers are postponed by the suspension."""
        self._suspended_s[host] += self._virtual.now - self._suspended_at.pop(host)
        self._frozen.discard(host)
        for deferred in self._deferred.pop(host, ()):
            if not deferred.postpone():
                super().call_soon(deferred, context=deferred.context)

    def thaw_all(self) -> None:
        """End the freeze of all hosts."""
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

    def reschedule(self, guard: _Guard, due: float) -> None:
        """Schedule a timer's callback for a later time. The first handle still cancels it."""
        super().call_at(due, guard, context=guard.context)

    def defer(self, guard: _Guard) -> bool:
        """Defer a callback if its host is frozen, and return whether it is."""
        if guard.host not in self._frozen:
            return False
        self._deferred[guard.host].append(guard)
        return True


class _Guard:
    """A callback that is deferred while its host is frozen."""

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

    def postpone(self) -> bool:
        """Postpone a timer by its host's suspensions since it was set; return whether it was."""
        since_s = self._loop.suspended_s(self.host) - self._suspended_s
        if self.due is None or not since_s:
            return False
        self._suspended_s += since_s
        self.due += since_s
        self._loop.reschedule(self, self.due)
        return True

    def __call__(self) -> None:
        if self.handle and self.handle.cancelled():
            # Cancelled while it was deferred.
            return
        if self.host and self.postpone():
            return
        if not self.host or not self._loop.defer(self):
            self._callback(*self._args)


def virtual_loop() -> VirtualLoop:
    """Return the running loop."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, VirtualLoop)
    return loop


def world_time() -> float:
    """Return the time of the virtual world, or of a regular loop outside of one."""
    loop = asyncio.get_running_loop()
    return loop.world_s if isinstance(loop, VirtualLoop) else loop.time()


def run_virtual(
    work: Coroutine[Any, Any, T], *, limit_s: float = 600.0, suspensions_count: bool = True
) -> T:
    """Run a coroutine to its end in virtual time.

    Args:
        work: Coroutine to run.
        limit_s: Limit of its duration in virtual time.
        suspensions_count: Whether the product's clock includes suspensions of its host. Tests
            switch this off to show the failures that it prevents.
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
