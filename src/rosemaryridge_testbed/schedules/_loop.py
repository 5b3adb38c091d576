"""Run an event loop in virtual time."""

import asyncio
import contextlib
import selectors
import sys
import typing as t
import unittest.mock

T = t.TypeVar("T")

_PRODUCT = "rosemaryridge.core."


class _Selector(selectors.SelectSelector):
    """Advance the virtual time in place of waiting."""

    now = 0.0

    def select(self, timeout: float | None = None) -> list:
        if timeout is None:
            raise RuntimeError("the loop waits for an event that never comes")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Skip all waits; `time` is virtual."""

    def __init__(self) -> None:
        self._virtual = _Selector()
        super().__init__(self._virtual)

    def time(self) -> float:
        """Return the virtual time in seconds."""
        return self._virtual.now


def run_virtually(main: t.Callable[[], t.Coroutine[t.Any, t.Any, T]]) -> T:
    """Run a coroutine in a virtual loop, with the product's boot clock virtual too."""
    loop = VirtualLoop()
    with contextlib.ExitStack() as stack:
        for name, module in list(sys.modules.items()):
            if name.startswith(_PRODUCT) and hasattr(module, "boottime"):
                patch = unittest.mock.patch.object(module, "boottime", loop.time)
                stack.enter_context(patch)
        asyncio.set_event_loop(loop)
        try:
            return loop.run_until_complete(main())
        finally:
            for task in asyncio.all_tasks(loop):
                task.cancel()
            loop.run_until_complete(asyncio.sleep(0))
            loop.close()
            asyncio.set_event_loop(None)
