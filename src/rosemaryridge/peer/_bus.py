"""Define how parts talk to other proxies."""

import typing as t

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, tag=True, tag_field="type"):
    """Be the base of every message between proxies; a subclass is a message type."""


Handler = t.Callable[[str, t.Any], None]
Responder = t.Callable[[str, t.Any], PeerMessage]


class PeerBus(t.Protocol):
    """Send typed messages between proxies over few long streams, in batches."""

    def peers(self) -> tuple[str, ...]:
        """Return the VMs that are connected now."""

    def send(self, vm: str, message: PeerMessage) -> None:
        """Send to one peer, best effort and in order."""

    def broadcast(self, message: PeerMessage, exclude: str = "") -> None:
        """Send to every connected peer but one, best effort and in order."""

    async def ask(self, vm: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send to one peer and return its answer; raise PeerUnavailable."""

    def on_message(self, kind: type[PeerMessage], handler: Handler) -> None:
        """Call `handler(vm, message)` for each message of a type."""

    def on_ask(self, kind: type[PeerMessage], responder: Responder) -> None:
        """Answer each `ask` of a type by `responder(vm, message)`."""
