"""Queue messages for one peer and number them."""

import collections

from rosemaryridge.peer.peer_pb2 import Batch
from rosemaryridge.peer.peer_pb2 import Envelope


class Outbox:
    """Hold what waits for one peer; drop the oldest beyond a limit."""

    def __init__(self, limit: int):
        self.dropped = 0
        self._limit = limit
        self._next = 1
        self._waiting: collections.deque[Envelope] = collections.deque()

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, envelope: Envelope) -> None:
        """Add a message."""
        self._waiting.append(envelope)
        if len(self._waiting) > self._limit:
            self._waiting.popleft()
            self._next += 1
            self.dropped += 1

    def batch(self, limit: int) -> Batch:
        """Take out the next messages, none where none waits."""
        taken = min(limit, len(self._waiting))
        envelopes = [self._waiting.popleft() for _ in range(taken)]
        batch = Batch(sequence=self._next, envelopes=envelopes)
        self._next += taken
        return batch


class Inbox:
    """Notice messages that a peer dropped."""

    def __init__(self) -> None:
        self._expected = 1

    def accept(self, batch: Batch) -> bool:
        """Take in a batch; return whether messages are missing before it."""
        gap = batch.sequence > self._expected
        self._expected = batch.sequence + len(batch.envelopes)
        return gap
