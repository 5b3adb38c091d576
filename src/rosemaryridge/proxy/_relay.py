"""Pass on what other proxies show, so that one address is enough."""

import typing as t

import msgspec

from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.peer import PeerBus
from rosemaryridge.peer import PeerMessage
from rosemaryridge.telemetry import Pages

_TIMEOUT_S = 3.0


class StatusAsk(PeerMessage, frozen=True):
    """Ask a proxy for sections of its status page."""

    sections: tuple[str, ...]


class StatusAnswer(PeerMessage, frozen=True):
    """Answer with the sections as JSON."""

    body: bytes


def register_relay(pages: Pages, bus: PeerBus, own_vm: str) -> None:
    """Answer peers, and pass the operator's questions on to them."""

    def answer(_vm: str, ask: StatusAsk) -> StatusAnswer:
        return StatusAnswer(msgspec.json.encode(pages.status(ask.sections)))

    @pages.command("status-of")
    async def status_of(args: t.Mapping[str, str]) -> t.Any:
        if "vm" not in args:
            raise ValueError("missing: vm")
        sections = tuple(filter(None, args.get("sections", "").split(",")))
        if args["vm"] == own_vm:
            return pages.status(sections)
        try:
            found = await bus.ask(args["vm"], StatusAsk(sections), _TIMEOUT_S)
        except PeerUnavailable as exc:
            raise ValueError(f"{args['vm']} did not answer: {exc}") from exc
        return msgspec.Raw(found.body)

    bus.on_ask(StatusAsk, answer)
