"""Relay the status of other proxies, so that operators need only one address."""

import typing as t

import msgspec

from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.peer import PeerBus
from rosemaryridge.peer import PeerMessage
from rosemaryridge.telemetry import Pages

_ASK_TIMEOUT_S = 3.0


class StatusAsk(PeerMessage, frozen=True):
    """Ask a proxy for sections of its status page."""

    sections: tuple[str, ...]


class StatusAnswer(PeerMessage, frozen=True):
    """Answer with the sections as JSON."""

    body: bytes


def register_relay(pages: Pages, bus: PeerBus, local_vm: str) -> None:
    """Answer status requests from peers, and add a command that asks a peer."""

    def answer(_vm: str, ask: StatusAsk) -> StatusAnswer:
        return StatusAnswer(msgspec.json.encode(pages.status(ask.sections)))

    @pages.command("status-of")
    async def status_of(args: t.Mapping[str, str]) -> t.Any:
        if "vm" not in args:
            raise ValueError("missing argument: vm")
        sections = tuple(filter(None, args.get("sections", "").split(",")))
        if args["vm"] == local_vm:
            return pages.status(sections)
        try:
            reply = await bus.ask(args["vm"], StatusAsk(sections), _ASK_TIMEOUT_S)
        except PeerUnavailable as exc:
            raise ValueError(f"proxy {args['vm']} did not answer: {exc}") from exc
        return msgspec.Raw(reply.body)

    bus.on_ask(StatusAsk, answer)
