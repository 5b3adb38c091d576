"""Encode outgoing messages and dispatch received ones."""

import msgspec

from rosemaryridge.peer._bus import Handler
from rosemaryridge.peer._bus import PeerMessage
from rosemaryridge.peer._bus import Responder
from rosemaryridge.peer._codec import Codec
from rosemaryridge.peer._codec import UnknownKind
from rosemaryridge.peer._pending import PendingRequests
from rosemaryridge.peer._stats import BusStats
from rosemaryridge.peer.peer_pb2 import Envelope


class Dispatcher:
    """Dispatch received messages to the handlers of their type."""

    def __init__(self, pending: PendingRequests, stats: BusStats):
        self._pending = pending
        self._stats = stats
        self._codec = Codec()
        self._handlers: dict[str, list[Handler]] = {}
        self._responders: dict[str, Responder] = {}

    def on_message(self, kind: type[PeerMessage], handler: Handler) -> None:
        """Call `handler(vm, message)` for each message of type `kind`."""
        self._codec.register(kind)
        self._handlers.setdefault(kind.__name__, []).append(handler)

    def on_ask(self, kind: type[PeerMessage], responder: Responder) -> None:
        """Answer each request of type `kind` with `responder(vm, message)`."""
        self._codec.register(kind)
        self._responders[kind.__name__] = responder

    def envelope(self, message: PeerMessage) -> Envelope:
        """Return the envelope of a message."""
        kind, payload = self._codec.encode(message)
        return Envelope(kind=kind, payload=payload)

    def receive(self, vm: str, envelope: Envelope) -> Envelope | None:
        """Dispatch a received message; return the answer if it is a request."""
        try:
            message = self._codec.decode(envelope.kind, envelope.payload)
        except (UnknownKind, msgspec.DecodeError):
            self._stats.unknown += 1
            return None
        if envelope.answer:
            self._pending.resolve(envelope.ask, vm, message)
        elif envelope.ask:
            return self._answer(vm, envelope, message)
        else:
            for handler in self._handlers.get(envelope.kind, ()):
                handler(vm, message)
        return None

    def _answer(
        self, vm: str, envelope: Envelope, message: PeerMessage
    ) -> Envelope | None:
        responder = self._responders.get(envelope.kind)
        if responder is None:
            self._stats.unknown += 1
            return None
        answer = self.envelope(responder(vm, message))
        answer.ask = envelope.ask
        answer.answer = True
        return answer
