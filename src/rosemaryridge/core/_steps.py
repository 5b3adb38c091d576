"""Measure where the time of a statement goes."""

import asyncio
import contextlib
import typing as t


class StepTimes:
    """Add up the time of a statement by step, in seconds.

    The attempts of a read that is sent to two targets overlap.
    """

    __slots__ = ("elapsed_s",)

    def __init__(self) -> None:
        self.elapsed_s: dict[str, float] = {}

    @contextlib.contextmanager
    def measure(self, step: str) -> t.Iterator[None]:
        """Add the time that the body takes to a step."""
        time = asyncio.get_running_loop().time
        started_at = time()
        try:
            yield
        finally:
            elapsed_s = time() - started_at
            self.elapsed_s[step] = self.elapsed_s.get(step, 0.0) + elapsed_s

    def milliseconds(self) -> dict[str, int]:
        """Return the steps that took half a millisecond or more."""
        rounded = {name: round(1000 * s) for name, s in self.elapsed_s.items()}
        return {name: ms for name, ms in rounded.items() if ms}
