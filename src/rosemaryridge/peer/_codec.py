"""Encode messages between proxies."""

import typing as t

import msgspec

from rosemaryridge.peer._bus import PeerMessage


class UnknownKind(ValueError):
    """Report a message type without a decoder in this proxy."""


class Codec:
    """Convert messages to and from a kind (the class name) and bytes."""

    def __init__(self) -> None:
        self._encoder = msgspec.msgpack.Encoder()
        self._decoders: dict[str, msgspec.msgpack.Decoder[t.Any]] = {}

    def register(self, kind: type[PeerMessage]) -> None:
        """Create the decoder of a message type."""
        self._decoders[kind.__name__] = msgspec.msgpack.Decoder(kind)

    def encode(self, message: PeerMessage) -> tuple[str, bytes]:
        """Return the kind and the bytes of a message."""
        return type(message).__name__, self._encoder.encode(message)

    def decode(self, kind: str, payload: bytes) -> PeerMessage:
        """Return the message; raise UnknownKind or msgspec.DecodeError."""
        decoder = self._decoders.get(kind) or self._find_decoder(kind)
        return decoder.decode(payload)

    def _find_decoder(self, kind: str) -> msgspec.msgpack.Decoder[t.Any]:
        for message_type in PeerMessage.__subclasses__():
            if message_type.__name__ == kind:
                self.register(message_type)
                return self._decoders[kind]
        raise UnknownKind(kind)
