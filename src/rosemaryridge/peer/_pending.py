"""Match answers to pending requests."""

import asyncio
import dataclasses

from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.peer._bus import PeerMessage
from rosemaryridge.timer import TimerService


@dataclasses.dataclass(frozen=True, slots=True)
class _PendingRequest:
    vm: str
    fut: asyncio.Future[PeerMessage]


class PendingRequests:
    """Number requests to peers and wait for their answers."""

    def __init__(self, timer: TimerService):
        self._timer = timer
        self._last_id = 0
        self._pending: dict[int, _PendingRequest] = {}

    def create(self, vm: str) -> int:
        """Return the id of a new request to a peer."""
        self._last_id += 1
        fut = asyncio.get_running_loop().create_future()
        self._pending[self._last_id] = _PendingRequest(vm, fut)
        return self._last_id

    async def wait(self, request_id: int, timeout_s: float) -> PeerMessage:
        """Return the answer; raise PeerUnavailable after a timeout in seconds."""
        req = self._pending[request_id]
        expiry = self._timer.after(
            timeout_s,
            lambda: self._fail(req, f"no answer within {timeout_s:g} s"),
        )
        try:
            return await req.fut
        finally:
            expiry.cancel()
            del self._pending[request_id]

    def resolve(self, request_id: int, vm: str, message: PeerMessage) -> None:
        """Complete a request with its answer; ignore an answer after the timeout."""
        req = self._pending.get(request_id)
        if req is not None and req.vm == vm and not req.fut.done():
            req.fut.set_result(message)

    def fail_all(self, vm: str) -> None:
        """Fail the pending requests to a peer whose stream ended."""
        for req in self._pending.values():
            if req.vm == vm:
                self._fail(req, "stream ended")

    def _fail(self, req: _PendingRequest, reason: str) -> None:
        if not req.fut.done():
            req.fut.set_exception(PeerUnavailable(f"peer {req.vm}: {reason}"))
