"""Encode messages between proxies."""

import typing as t

import msgspec

from rosemaryridge.peer._bus import PeerMessage


class UnknownKind(ValueError):
    """Report a message of a type that this proxy does not know."""


class Codec:
    """Turn messages into a kind and bytes, and back."""

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[str, msgspec.msgpack.Decoder[t.Any]] = {}

    def register(self, kind: type[PeerMessage]) -> None:
        """Make a type of message known."""
        self._decoders[kind.__name__] = msgspec.msgpack.Decoder(kind)

    def encode(self, message: PeerMessage) -> tuple[str, bytes]:
        """Return the message's kind and its bytes."""
        return type(message).__name__, self._encoder.encode(message)

    def decode(self, kind: str, payload: bytes) -> PeerMessage:
        """Return the message; raise UnknownKind or msgspec.DecodeError."""
        decoder = self._decoders.get(kind) or self._find(kind)
        return decoder.decode(payload)

    def _find(self, kind: str) -> msgspec.msgpack.Decoder[t.Any]:
        for known in PeerMessage.__subclasses__():
            if known.__name__ == kind:
                self.register(known)
                return self._decoders[kind]
        raise UnknownKind(kind)
