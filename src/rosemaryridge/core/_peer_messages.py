"""Encode the datagrams that proxies exchange."""

import dataclasses
import json
import typing as t

from rosemaryridge.core._claims import ClaimedTarget


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


Message = PositionRequest | PositionReply | ClaimsRequest | ClaimsReply


def encode(message: Message) -> bytes:
    """Encode a message as a datagram; the number of its fields tells its type."""
    fields = dataclasses.astuple(message)
    if isinstance(message, ClaimsReply):
        number, age_s, era, claims = fields
        fields = (number, age_s, {"era": era, "claims": claims})
    return json.dumps(fields).encode()


def decode(data: bytes) -> Message:
    """Decode a datagram; raise ValueError or TypeError if it holds no message."""
    fields = json.loads(data)
    decoder = _DECODERS.get(len(fields)) if isinstance(fields, list) else None
    if decoder is None:
        raise ValueError("expected a datagram with a list of 1 to 4 fields")
    return decoder(*fields)


def _decode_position_request(number: t.Any, service: t.Any) -> PositionRequest:
    return PositionRequest(int(number), str(service))


def _decode_position_reply(
    number: t.Any, term: t.Any, lsn: t.Any, age_s: t.Any
) -> PositionReply:
    return PositionReply(int(number), int(term), int(lsn), _decode_age_s(age_s))


def _decode_claims_request(number: t.Any) -> ClaimsRequest:
    return ClaimsRequest(int(number))


def _decode_claims_reply(number: t.Any, age_s: t.Any, state: t.Any) -> ClaimsReply:
    if not isinstance(state, dict) or not isinstance(state.get("claims"), dict):
        raise ValueError("expected an object with the claims by service")
    claims = {
        service: ClaimedTarget(int(fence), int(term), str(target))
        for service, (fence, term, target) in state["claims"].items()
    }
    era = state.get("era")
    return ClaimsReply(
        int(number),
        None if age_s is None else _decode_age_s(age_s),
        None if era is None else int(era),
        claims,
    )


def _decode_age_s(value: t.Any) -> float:
    age_s = float(value)
    if not age_s >= 0.0:
        raise ValueError(f"expected an age of 0 s or more, got {age_s}")
    return age_s


_DECODERS: dict[int, t.Callable[..., Message]] = {
    1: _decode_claims_request,
    2: _decode_position_request,
    3: _decode_claims_reply,
    4: _decode_position_reply,
}
