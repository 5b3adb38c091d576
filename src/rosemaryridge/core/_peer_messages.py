"""Encode the datagrams that proxies exchange."""

import dataclasses
import json
import math
import typing as t
import zlib

from rosemaryridge.core.store import ClaimedTarget
from rosemaryridge.core.store import MirrorState
from rosemaryridge.core.store import RelayedChange
from rosemaryridge.core.store import RelayedObject
from rosemaryridge.core.store import Update

# The newest number of the messages that this build understands. A proxy writes it into
# its entry in the store, and others send it only what it understands:
# 1: all messages that have no number of their own below.
# 2: `ChangesRequest`, `ChangesNotice`, and compressed datagrams.
PROTOCOL = 2
CHANGES_PROTOCOL = 2

# Longer datagrams are compressed.
_COMPRESSED_ABOVE_BYTES = 1200
# A datagram that expands to more is refused.
_MAX_BYTES = 1_000_000
_PLAIN_START = b"["


@dataclasses.dataclass(frozen=True, slots=True)
class PositionRequest:
    """Request the newest position of a group."""

    number: int
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class PositionReply:
    """Reply with a group's position.

    `age_s` is the time between the relay's request to the primary and this reply.
    """

    number: int
    term: int
    lsn: int
    age_s: float


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsRequest:
    """Request the newest claims."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class ClaimsReply:
    """Reply with the claims by service.

    `age_s` is the time between the relay's request to the store and this reply; None
    if the store does not answer the relay. `era` is the newest era of the store that
    the relay knows.
    """

    number: int
    age_s: float | None
    era: int | None
    claims: dict[str, ClaimedTarget]


@dataclasses.dataclass(frozen=True, slots=True)
class MirrorsRequest:
    """Request the state of a relay's mirrors."""

    number: int


@dataclasses.dataclass(frozen=True, slots=True)
class MirrorsReply:
    """Reply with the state of the mirrors by kind, and the newest known era."""

    number: int
    era: int | None
    mirrors: dict[str, MirrorState]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesRequest:
    """Request the state of a relay's mirrors, and the changes after known revisions."""

    number: int
    known: dict[str, int]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesReply:
    """Reply as `MirrorsReply`, with what leads on from the known revisions, by kind."""

    number: int
    era: int | None
    mirrors: dict[str, MirrorState]
    updates: dict[str, Update]


@dataclasses.dataclass(frozen=True, slots=True)
class ChangesNotice:
    """Tell a proxy that asked for changes that there are new ones; no reply."""

    number: int


class Message(t.Protocol):
    """Carry the number of a request, or of the request that a reply answers."""

    number: int


Decoder = t.Callable[..., Message]
# By name, or by the number of fields for the types that are sent without a name.
_DECODERS: dict[str | int, Decoder] = {}
_NAMES: dict[type, str] = {
    MirrorsRequest: "get-mirrors",
    MirrorsReply: "mirrors",
    ChangesRequest: "get-changes",
    ChangesReply: "changes",
    ChangesNotice: "new-changes",
}


def _decodes(key: str | int) -> t.Callable[[Decoder], Decoder]:
    """Register the decoder of a type."""

    def register(decoder: Decoder) -> Decoder:
        _DECODERS[key] = decoder
        return decoder

    return register


def datagram(name: str) -> t.Callable[[type], type]:
    """Register a data class whose fields are plain values as a type of datagram."""

    def register(cls: type) -> type:
        kinds = [field.type for field in dataclasses.fields(cls)]

        def decode_fields(*values: t.Any) -> Message:
            if len(values) != len(kinds):
                raise ValueError(f"expected {len(kinds)} fields in {name}")
            return cls(*map(_decode_plain, kinds, values))

        _NAMES[cls] = name
        _DECODERS[name] = decode_fields
        return cls

    return register


def _decode_plain(kind: type, value: t.Any) -> t.Any:
    if kind is float and type(value) is int:
        value = float(value)
    if type(value) is not kind or kind is float and not math.isfinite(value):
        raise ValueError(f"expected a {kind.__name__}, got {value!r}")
    return value


def encode(message: Message) -> bytes:
    """Encode a message as a datagram: its fields, after the name of its type if any."""
    if isinstance(message, ChangesReply):
        # Copying the objects would take ten times as long as encoding them.
        states = {
            kind: dataclasses.astuple(state) for kind, state in message.mirrors.items()
        }
        fields = (message.number, message.era, states, message.updates)
    else:
        fields = dataclasses.astuple(message)
    if isinstance(message, ClaimsReply):
        number, age_s, era, claims = fields
        fields = (number, age_s, {"era": era, "claims": claims})
    name = _NAMES.get(type(message))
    data = json.dumps(fields if name is None else (name, *fields)).encode()
    # Only the types of `CHANGES_PROTOCOL` are that long.
    is_compressed = isinstance(message, ChangesReply) and (
        len(data) > _COMPRESSED_ABOVE_BYTES
    )
    return zlib.compress(data) if is_compressed else data


def decode(data: bytes) -> Message:
    """Decode a datagram; raise ValueError or TypeError if it holds no message."""
    fields = json.loads(_expand(data))
    if not isinstance(fields, list) or not fields:
        raise ValueError("expected a datagram with a list of fields")
    if isinstance(fields[0], str):
        key, fields = fields[0], fields[1:]
    else:
        key = len(fields)
    decoder = _DECODERS.get(key)
    if decoder is None:
        raise ValueError(f"unknown type of datagram: {key}")
    return decoder(*fields)


def _expand(data: bytes) -> bytes:
    if data.startswith(_PLAIN_START):
        return data
    expander = zlib.decompressobj()
    try:
        expanded = expander.decompress(data, _MAX_BYTES)
    except zlib.error as exc:
        raise ValueError(str(exc)) from exc
    if not expander.eof:
        raise ValueError("a compressed datagram that is too long or incomplete")
    return expanded


@_decodes(2)
def _decode_position_request(number: t.Any, service: t.Any) -> PositionRequest:
    return PositionRequest(int(number), str(service))


@_decodes(4)
def _decode_position_reply(
    number: t.Any, term: t.Any, lsn: t.Any, age_s: t.Any
) -> PositionReply:
    return PositionReply(int(number), int(term), int(lsn), _decode_age_s(age_s))


@_decodes(1)
def _decode_claims_request(number: t.Any) -> ClaimsRequest:
    return ClaimsRequest(int(number))


@_decodes(3)
def _decode_claims_reply(number: t.Any, age_s: t.Any, state: t.Any) -> ClaimsReply:
    if not isinstance(state, dict) or not isinstance(state.get("claims"), dict):
        raise ValueError("expected an object with the claims by service")
    claims = {
        service: ClaimedTarget(int(fence), int(term), str(target))
        for service, (fence, term, target) in state["claims"].items()
    }
    return ClaimsReply(
        int(number),
        None if age_s is None else _decode_age_s(age_s),
        _decode_era(state.get("era")),
        claims,
    )


@_decodes("get-mirrors")
def _decode_mirrors_request(number: t.Any) -> MirrorsRequest:
    return MirrorsRequest(int(number))


@_decodes("mirrors")
def _decode_mirrors_reply(number: t.Any, era: t.Any, mirrors: t.Any) -> MirrorsReply:
    return MirrorsReply(int(number), _decode_era(era), _decode_states(mirrors))


@_decodes("get-changes")
def _decode_changes_request(number: t.Any, known: t.Any) -> ChangesRequest:
    return ChangesRequest(
        int(number), {kind: int(revision) for kind, revision in _items(known)}
    )


@_decodes("changes")
def _decode_changes_reply(
    number: t.Any, era: t.Any, mirrors: t.Any, updates: t.Any
) -> ChangesReply:
    found = {kind: _decode_update(*update) for kind, update in _items(updates)}
    return ChangesReply(int(number), _decode_era(era), _decode_states(mirrors), found)


@_decodes("new-changes")
def _decode_changes_notice(number: t.Any) -> ChangesNotice:
    return ChangesNotice(int(number))


def _decode_update(revision: t.Any, full: t.Any, changes: t.Any) -> Update:
    return Update(
        int(revision),
        bool(full),
        tuple(
            RelayedChange(
                RelayedObject(str(name), int(changed_at), spec), bool(removed)
            )
            for (name, changed_at, spec), removed in changes
        ),
    )


def _decode_states(mirrors: t.Any) -> dict[str, MirrorState]:
    return {
        kind: MirrorState(int(changed_revision), _decode_age_s(age_s))
        for kind, (changed_revision, age_s) in _items(mirrors)
    }


def _items(value: t.Any) -> t.Iterable[tuple[str, t.Any]]:
    if not isinstance(value, dict):
        raise ValueError("expected an object by kind")
    return value.items()


def _decode_era(value: t.Any) -> int | None:
    return None if value is None else int(value)


def _decode_age_s(value: t.Any) -> float:
    age_s = float(value)
    if not age_s >= 0.0:
        raise ValueError(f"expected an age of 0 s or more, got {age_s}")
    return age_s
