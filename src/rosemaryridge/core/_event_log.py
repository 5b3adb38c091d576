"""Write structured log lines to standard output without blocking."""

import json
import os
import time
import typing as t

# Rate limit of one process in lines per second, and its burst.
_LINES_PER_S = 50.0
_BURST_LINES = 200.0
# Part of the burst that lines about requests may not use. It suffices for the lines
# about promotions and their proofs in ten groups at once.
_RESERVED_LINES = 50.0


class EventLog:
    """Write one JSON line per event.

    Lines beyond the rate limit, or for which a full pipe has no room, are dropped and
    counted; the next line reports the count as `left_out_before`. Events with the `id`
    of a request are dropped first.
    """

    def __init__(self, vm: str, descriptor: int = 1):
        self.left_out = 0
        self._vm = vm
        self._descriptor = descriptor
        self._tokens = _BURST_LINES
        self._refilled_at = time.monotonic()
        self._rest = b""
        os.set_blocking(descriptor, False)

    def write(self, event: str, **fields: t.Any) -> None:
        """Write an event with its fields."""
        if not self._take_token(_RESERVED_LINES if "id" in fields else 0.0):
            self.left_out += 1
            return
        if self.left_out:
            fields["left_out_before"], self.left_out = self.left_out, 0
        line = {"at": round(time.time(), 3), "vm": self._vm, "event": event, **fields}
        self._send(json.dumps(line, default=_serialize_value).encode() + b"\n")

    def _take_token(self, reserved: float) -> bool:
        now = time.monotonic()
        refill = (now - self._refilled_at) * _LINES_PER_S
        self._tokens = min(_BURST_LINES, self._tokens + refill)
        self._refilled_at = now
        if self._tokens < 1.0 + reserved:
            return False
        self._tokens -= 1.0
        return True

    def _send(self, line: bytes) -> None:
        # The rest of a line that a full pipe truncated goes first; no other line is
        # buffered.
        if self._rest and not self._flush():
            self.left_out += 1
            return
        self._rest = line
        self._flush()

    def _flush(self) -> bool:
        try:
            written = os.write(self._descriptor, self._rest)
        except OSError:
            return False
        self._rest = self._rest[written:]
        return not self._rest


def _serialize_value(value: t.Any) -> str:
    return value.decode(errors="replace") if isinstance(value, bytes) else str(value)
