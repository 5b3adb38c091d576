"""Define the frames between a proxy and the owner of a target."""

import typing as t

import msgspec

from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import TransactionState
from rosemaryridge.core._statement import Verb

# A statement may have 1 MiB, a read's rows too.
MAX_FRAME_BYTES = 2_200_000
VERSION = 1
# Limit on the places that one stream may name: targets times businesses.
MAX_PLACES = 65_536

# Their order is part of the version: frames hold a value's number.
VERBS = tuple(Verb)
FAILURES = tuple(Failure)
STATES = tuple(TransactionState)

_Verb = t.Annotated[int, msgspec.Meta(ge=0, lt=len(VERBS))]
_Failure = t.Annotated[int, msgspec.Meta(ge=0, lt=len(FAILURES))]
_State = t.Annotated[int, msgspec.Meta(ge=0, lt=len(STATES))]
_Position = tuple[int, int]
_MS = 1000.0


class _Frame(msgspec.Struct, array_like=True, frozen=True):
    """Encode the fields of a frame as a list that starts with its tag."""


class RunStep(_Frame, tag=1):
    """Run a caller's statement.

    `content` is its text or, with the `shape` of a prepared statement, its arguments.
    """

    id: bytes
    verb: _Verb
    content: bytes
    read_only: bool
    min_position: _Position | None = None
    shape: bytes | None = None
    shape_read_only: bool = False


class BeginStep(_Frame, tag=2):
    """Open a transaction."""

    read_only: bool
    min_position: _Position | None = None


class RollbackStep(_Frame, tag=3):
    """Roll a transaction back."""


class ConditionStep(_Frame, tag=4):
    """Ask for the target's condition, after a demotion if `step_down_term` is set."""

    step_down_term: int | None = None


class HoldStep(_Frame, tag=5):
    """Ask for a target's condition.

    Builds that held replicas during a promotion send it; nothing is held any more.
    """

    term: int | None = None


Step = RunStep | BeginStep | RollbackStep | ConditionStep | HoldStep


class Hello(_Frame, tag=10):
    """Open a stream."""

    version: int
    vm: str
    sent_ms: int


class Welcome(_Frame, tag=11):
    """Accept a stream; an owner that is stopping takes no new links."""

    version: int
    stopping: bool


class Place(_Frame, tag=12):
    """Give a number to a target of a service as a business uses it."""

    number: int
    service: str
    target: str
    business: str


class Batch(_Frame, tag=13):
    """Run steps one after the other on one connection to a target.

    The connection stays the link's until a step ends outside a transaction. `sent_ms`
    is a time of the sender's clock; `aim_ms` and `deadline_ms` follow it by as much.
    `values` are all session values.
    """

    link: int
    number: int
    place: int
    priority: int
    sent_ms: int
    aim_ms: int
    deadline_ms: int
    accepts_late: bool
    values: dict[bytes, bytes]
    steps: t.Annotated[tuple[Step, ...], msgspec.Meta(min_length=1, max_length=4)]


class CloseLink(_Frame, tag=14):
    """Drop what waits for a link, and roll its transaction back."""

    link: int


class Ping(_Frame, tag=15):
    """Ask whether the owner works."""


class Pong(_Frame, tag=16):
    """Show that the owner works."""


class Stopping(_Frame, tag=17):
    """Announce that the owner takes no new links."""


class AnswerFrame(_Frame):
    """Hold a target's answer to one step."""

    signature: bytes
    state: _State
    position: _Position | None
    rows: tuple[bytes, ...] = ()
    failure: _Failure | None = None
    detail: str = ""


class Done(_Frame, tag=18):
    """Return the target's answers."""

    number: int
    answers: tuple[AnswerFrame, ...]


class Condition(_Frame, tag=19):
    """Return a target's condition, None if it had no free slot to report it."""

    number: int
    fields: tuple[bool, int, _Position, int, float, int, int] | None


class NotRun(_Frame, tag=20):
    """State that nothing of a batch was sent to the target, and will not be.

    `unreachable` tells whether the owner could not connect to it.
    """

    number: int
    reason: str
    wait_s: float
    unreachable: bool = False


class Lost(_Frame, tag=21):
    """State that a connection ended before its answers."""

    number: int
    reason: str
    sent: bool


ToOwner = Hello | Place | Batch | CloseLink | Ping
ToSender = Welcome | Done | Condition | NotRun | Lost | Pong | Stopping

_encoder = msgspec.msgpack.Encoder()
_TO_OWNER = msgspec.msgpack.Decoder(ToOwner)
_TO_SENDER = msgspec.msgpack.Decoder(ToSender)
_LENGTH_BYTES = 4


class MalformedFrame(ValueError):
    """Report bytes that are no frame; the stream ends."""


def to_ms(time_s: float) -> int:
    """Return a time in whole milliseconds, as frames hold it."""
    return round(time_s * _MS)


def to_s(time_ms: int) -> float:
    """Return a time of a frame in seconds."""
    return time_ms / _MS


def encode(frame: ToOwner | ToSender) -> bytes:
    """Return a frame with its length before it."""
    body = _encoder.encode(frame)
    return len(body).to_bytes(_LENGTH_BYTES) + body


class FrameReader:
    """Split a byte stream into frames."""

    def __init__(self, decoder: msgspec.msgpack.Decoder):
        self._decoder = decoder
        self._rest = bytearray()

    @classmethod
    def of_owner(cls) -> "FrameReader":
        """Return a reader of the frames that an owner receives."""
        return cls(_TO_OWNER)

    @classmethod
    def of_sender(cls) -> "FrameReader":
        """Return a reader of the frames that a sender receives."""
        return cls(_TO_SENDER)

    def feed(self, data: bytes) -> list[t.Any]:
        """Return the complete frames; raise MalformedFrame."""
        self._rest += data
        frames, start = [], 0
        while len(self._rest) - start >= _LENGTH_BYTES:
            body_at = start + _LENGTH_BYTES
            length = int.from_bytes(self._rest[start:body_at])
            if length > MAX_FRAME_BYTES:
                raise MalformedFrame(f"frame of {length} bytes")
            if len(self._rest) < body_at + length:
                break
            body = bytes(self._rest[body_at : body_at + length])
            try:
                frames.append(self._decoder.decode(body))
            except (msgspec.DecodeError, UnicodeDecodeError) as exc:
                raise MalformedFrame(str(exc)) from exc
            start = body_at + length
        del self._rest[:start]
        return frames
