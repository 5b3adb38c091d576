"""Define the message bus between proxies."""

import typing as t

import msgspec


class PeerMessage(msgspec.Struct, frozen=True, tag=True, tag_field="type"):
    """Base of the messages between proxies; each subclass is a message type."""


Handler = t.Callable[[str, t.Any], None]
Responder = t.Callable[[str, t.Any], PeerMessage]


class PeerBus(t.Protocol):
    """Send typed messages between proxies, in batches over a few long-lived streams."""

    def peers(self) -> tuple[str, ...]:
        """Return the VMs with a ready stream, in order of their names."""

    def send(self, vm: str, message: PeerMessage) -> None:
        """Send to one peer, best effort and in order."""

    def broadcast(self, message: PeerMessage, exclude: str = "") -> None:
        """Send to every connected peer except `exclude`, best effort and in order."""

    async def ask(self, vm: str, message: PeerMessage, timeout_s: float) -> PeerMessage:
        """Send a request to a peer and return its answer.

        Raise PeerUnavailable if no answer arrives within `timeout_s` seconds.
        """

    def on_message(self, kind: type[PeerMessage], handler: Handler) -> None:
        """Call `handler(vm, message)` for each message of type `kind`."""

    def on_ask(self, kind: type[PeerMessage], responder: Responder) -> None:
        """Answer each request of type `kind` with `responder(vm, message)`."""
