"""Write structured lines to standard output without ever waiting for a reader."""

import json
import os
import time
import typing as t

# Lines a second that one process writes at most, and how many may come at once.
_LINES_PER_S = 50.0
_LINES_AT_ONCE = 200.0
# Of those, what requests leave to changes of belief: a promotion of a group and the
# proofs of it, for ten groups at once.
_LINES_RESERVED = 50.0


class EventLog:
    """Write one JSON line an event; lines beyond the rate are counted instead.

    Events with the `id` of a request are left out first.
    """

    def __init__(self, vm: str, descriptor: int = 1):
        self.left_out = 0
        self._vm = vm
        self._descriptor = descriptor
        self._tokens = _LINES_AT_ONCE
        self._filled_at = time.monotonic()
        self._rest = b""
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: t.Any) -> None:
        """Write an event with its inputs."""
        if not self._admit(_LINES_RESERVED if "id" in fields else 0.0):
            self.left_out += 1
            return
        if self.left_out:
            fields["left_out_before"], self.left_out = self.left_out, 0
        line = {"at": round(time.time(), 3), "vm": self._vm, "event": event, **fields}
        self._send(json.dumps(line, default=_text).encode() + b"\n")

    def _admit(self, reserved: float) -> bool:
        now = time.monotonic()
        earned = (now - self._filled_at) * _LINES_PER_S
        self._tokens = min(_LINES_AT_ONCE, self._tokens + earned)
        self._filled_at = now
        if self._tokens < 1.0 + reserved:
            return False
        self._tokens -= 1.0
        return True

    def _send(self, line: bytes) -> None:
        # A line that a full pipe cut short goes first; no other line is kept.
        if self._rest and not self._push():
            self.left_out += 1
            return
        self._rest = line
        self._push()

    def _push(self) -> bool:
        try:
            written = os.write(self._descriptor, self._rest)
        except OSError:
            return False
        self._rest = self._rest[written:]
        return not self._rest


def _text(value: t.Any) -> str:
    return value.decode(errors="replace") if isinstance(value, bytes) else str(value)
