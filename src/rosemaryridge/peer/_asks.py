"""Match answers with the questions that are open."""

import asyncio
import dataclasses

from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.peer._bus import PeerMessage
from rosemaryridge.timer import TimerService


@dataclasses.dataclass(frozen=True, slots=True)
class _Open:
    vm: str
    answer: asyncio.Future[PeerMessage]


class Asks:
    """Number questions and wait for their answers."""

    def __init__(self, timer: TimerService):
        self._timer = timer
        self._next = 0
        self._open: dict[int, _Open] = {}

    def open(self, vm: str) -> int:
        """Return the number of a new question to a peer."""
        self._next += 1
        answer = asyncio.get_running_loop().create_future()
        self._open[self._next] = _Open(vm, answer)
        return self._next

    async def wait(self, number: int, timeout_s: float) -> PeerMessage:
        """Return the answer; raise PeerUnavailable."""
        one = self._open[number]
        expiry = self._timer.after(timeout_s, lambda: self._fail(one, "no answer"))
        try:
            return await one.answer
        finally:
            expiry.cancel()
            del self._open[number]

    def answered(self, number: int, vm: str, message: PeerMessage) -> None:
        """Take in an answer; a late one is ignored."""
        one = self._open.get(number)
        if one is not None and one.vm == vm and not one.answer.done():
            one.answer.set_result(message)

    def lost(self, vm: str) -> None:
        """Fail the questions to a peer whose stream ended."""
        for one in self._open.values():
            if one.vm == vm:
                self._fail(one, "stream ended")

    def _fail(self, one: _Open, reason: str) -> None:
        if not one.answer.done():
            one.answer.set_exception(PeerUnavailable(f"{one.vm}: {reason}"))
