"""Exchange the positions of primaries with nearby proxies, by datagrams.

In every failure domain, a group has position relays: proxies that ask its primary.
The others ask a relay, so that neither the primary's connections nor the traffic
between regions grow with the number of proxies.
"""

import asyncio
import dataclasses
import json
import typing as t
import zlib

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._group import Group
from rosemaryridge.model import Endpoint
from rosemaryridge.model import Position

# Position relays of a group in a failure domain; the second is a fallback.
_RELAYS = 2
# A relay in the same failure domain answers within 1 ms, or after it has asked the
# primary, 40 ms away.
_REPLY_TIMEOUT_S = 0.15
# A relay that did not answer is skipped for this long.
_SKIP_S = 3.0
# Maximum age of a position in a relay's reply. A relay with only an older position
# asks the primary first.
_MAX_POSITION_AGE_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Hold the location of a proxy."""

    vm: str
    failure_domain: str
    endpoint: Endpoint


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


def position_relays(
    service: str, peers: t.Iterable[Peer], failure_domain: str
) -> list[Peer]:
    """Return the position relays of a group in a failure domain, the first preferred.

    All proxies with the same list of peers compute the same relays.
    """
    nearby = [peer for peer in peers if peer.failure_domain == failure_domain]
    nearby.sort(key=lambda peer: zlib.crc32(f"{service}/{peer.vm}".encode()))
    return nearby[:_RELAYS]


def encode(message: PositionRequest | PositionReply) -> bytes:
    """Encode a message as a datagram."""
    return json.dumps(dataclasses.astuple(message)).encode()


def decode(data: bytes) -> PositionRequest | PositionReply:
    """Decode a datagram; raise ValueError or TypeError if it holds no message."""
    fields = json.loads(data)
    if not isinstance(fields, list) or len(fields) not in (2, 4):
        raise ValueError("expected a datagram with a list of 2 or 4 fields")
    if len(fields) == 2:
        return PositionRequest(int(fields[0]), str(fields[1]))
    number, term, lsn, age_s = fields
    reply = PositionReply(int(number), int(term), int(lsn), float(age_s))
    if not reply.age_s >= 0.0:
        raise ValueError(f"expected an age of 0 s or more, got {reply.age_s}")
    return reply


class Peers(asyncio.DatagramProtocol):
    """Request positions from position relays; answer requests if this proxy is one."""

    def __init__(
        self,
        vm: str,
        failure_domain: str,
        groups: t.Mapping[str, Group],
        log: EventLog,
    ):
        self._vm = vm
        self._failure_domain = failure_domain
        self._groups = groups
        self._log = log
        self._peers: tuple[Peer, ...] = ()
        self._relays: dict[str, list[Peer]] = {}
        self._skipped_until: dict[str, float] = {}
        self._waiting: dict[int, asyncio.Future[PositionReply]] = {}
        self._last_number = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()

    async def start(self, host: str, port: int) -> Endpoint:
        """Listen for datagrams; return the bound address."""
        transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._transport = transport
        return Endpoint(*transport.get_extra_info("sockname")[:2])

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def set_peers(self, peers: t.Iterable[Peer]) -> None:
        """Replace the list of live proxies."""
        self._peers = tuple(peers)
        self._relays.clear()

    async def request_position(self, group: Group) -> bool:
        """Request a group's position; return whether it is newer than the known one.

        Returns False if this proxy is a relay itself, if every relay is skipped, or if
        the relay does not reply in time.
        """
        relay = self._select_relay(group.service)
        if relay is None or self._transport is None:
            return False
        self._last_number += 1
        number = self._last_number
        fut: asyncio.Future[PositionReply] = self._loop.create_future()
        self._waiting[number] = fut
        sent_at = boottime()
        request = encode(PositionRequest(number, group.service))
        self._transport.sendto(request, (relay.endpoint.host, relay.endpoint.port))
        try:
            async with asyncio.timeout(_REPLY_TIMEOUT_S):
                reply = await fut
        except TimeoutError:
            self._skipped_until[relay.vm] = self._loop.time() + _SKIP_S
            self._log.write("home_silent", service=group.service, home=relay.vm)
            return False
        finally:
            del self._waiting[number]
        # The relay measured the age on its own clock, and its reply followed this
        # proxy's request. The difference is therefore a lower bound for the time of the
        # relay's request to the primary, and the clocks of two machines are never
        # compared.
        return group.record_peer_position(
            Position(reply.term, reply.lsn), sent_at - reply.age_s
        )

    def _select_relay(self, service: str) -> Peer | None:
        relays = self._relays.get(service)
        if relays is None:
            relays = position_relays(service, self._peers, self._failure_domain)
            self._relays[service] = relays
        if any(peer.vm == self._vm for peer in relays):
            return None
        now = self._loop.time()
        return next(
            (peer for peer in relays if self._skipped_until.get(peer.vm, 0.0) <= now),
            None,
        )

    def datagram_received(self, data: bytes, addr: tuple[t.Any, ...]) -> None:
        """Handle a request or a reply; log a datagram that cannot be decoded."""
        try:
            message = decode(data)
        except (ValueError, TypeError):
            self._log.write("datagram_unreadable", sender=addr[0])
            return
        if isinstance(message, PositionRequest):
            task = self._loop.create_task(self._reply(message, addr))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        fut = self._waiting.get(message.number)
        if fut is not None and not fut.done():
            fut.set_result(message)

    async def _reply(self, request: PositionRequest, addr: tuple[t.Any, ...]) -> None:
        group = self._groups.get(request.service)
        if group is None:
            return
        known = await group.fetch_newest_position(_MAX_POSITION_AGE_S)
        if known is None or self._transport is None:
            return
        position, requested_at = known
        age_s = max(0.0, boottime() - requested_at)
        reply = PositionReply(request.number, position.term, position.lsn, age_s)
        self._transport.sendto(encode(reply), addr)
