"""Queue outgoing messages and detect gaps in received ones."""

import collections

from rosemaryridge.peer.peer_pb2 import Batch
from rosemaryridge.peer.peer_pb2 import Envelope


class Outbox:
    """Queue and number the messages to one peer; drop the oldest above `limit`."""

    def __init__(self, limit: int):
        self.dropped = 0
        self._limit = limit
        self._next_sequence = 1
        self._queue: collections.deque[Envelope] = collections.deque()

    def __len__(self) -> int:
        return len(self._queue)

    def push(self, envelope: Envelope) -> None:
        """Append a message; drop the oldest one if the queue is full."""
        self._queue.append(envelope)
        if len(self._queue) > self._limit:
            self._queue.popleft()
            self._next_sequence += 1
            self.dropped += 1

    def pop_batch(self, limit: int) -> Batch:
        """Remove and return up to `limit` messages; the batch may be empty."""
        count = min(limit, len(self._queue))
        envelopes = [self._queue.popleft() for _ in range(count)]
        batch = Batch(sequence=self._next_sequence, envelopes=envelopes)
        self._next_sequence += count
        return batch


class GapDetector:
    """Detect messages that the peer dropped before sending."""

    def __init__(self) -> None:
        self._expected_sequence = 1

    def check(self, batch: Batch) -> bool:
        """Return whether messages are missing between the last batch and this one."""
        gap = batch.sequence > self._expected_sequence
        self._expected_sequence = batch.sequence + len(batch.envelopes)
        return gap
