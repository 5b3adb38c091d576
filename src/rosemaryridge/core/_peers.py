"""Exchange the positions of primaries and claims with nearby proxies, by datagrams.

In every failure domain, a group has position relays: proxies that ask its primary.
The others ask a relay, so that neither the primary's connections nor the traffic
between regions grow with the number of proxies. Likewise, two proxies of the fleet
read the claims from the store, two of each failure domain ask one of these, and the
others ask one of their failure domain; so are the mirrors of the store confirmed
(`MirrorMonitor`).
"""

import asyncio
import dataclasses
import typing as t
import zlib

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._group import Group
from rosemaryridge.core._peer_messages import CHANGES_PROTOCOL
from rosemaryridge.core._peer_messages import ChangesNotice
from rosemaryridge.core._peer_messages import ChangesReply
from rosemaryridge.core._peer_messages import ChangesRequest
from rosemaryridge.core._peer_messages import ClaimsReply
from rosemaryridge.core._peer_messages import ClaimsRequest
from rosemaryridge.core._peer_messages import Message
from rosemaryridge.core._peer_messages import MirrorsReply
from rosemaryridge.core._peer_messages import MirrorsRequest
from rosemaryridge.core._peer_messages import PositionReply
from rosemaryridge.core._peer_messages import PositionRequest
from rosemaryridge.core._peer_messages import decode
from rosemaryridge.core._peer_messages import encode
from rosemaryridge.core.store import RELAYED_AGE_S
from rosemaryridge.core.store import ClaimCache
from rosemaryridge.core.store import ClaimListing
from rosemaryridge.core.store import MirrorListing
from rosemaryridge.core.store import MirrorMonitor
from rosemaryridge.core.store import Update
from rosemaryridge.model import MAX_PORT
from rosemaryridge.model import Endpoint
from rosemaryridge.model import Position

# Relays of a group, or of the claims, in a failure domain; the second is a fallback.
_RELAYS = 2
# The subjects of the relays of claims and of mirrors; no service has these names.
CLAIMS = "/claims"
MIRRORS = "/mirrors"
# A relay in the same failure domain answers within 1 ms, or after it has asked the
# primary, 40 ms away.
_REPLY_TIMEOUT_S = 0.15
# A relay of claims may have to ask another one first.
_CLAIMS_TIMEOUT_S = 0.3
# A relay that did not answer is skipped for this long.
_SKIP_S = 3.0
# Maximum age of a position in a relay's reply. A relay with only an older position
# asks the primary first.
_MAX_POSITION_AGE_S = 0.3
# Ages of mirrors from which another relay is asked: of those that watch the store with
# waits of 1 s, and of those that ask these every 0.8 s.
_MAX_FLEET_RELAY_AGE_S = 2.0
_MAX_RELAY_AGE_S = 3.0
# A proxy that has not asked for changes for this long is no longer told of new ones.
_ASKER_EXPIRY_S = 2.0
# Changes that fit in a datagram of this length, after compression, are passed on.
_MAX_CHANGES_BYTES = 8000
# Larger than the processor cores of any VM, which weights are.
_MAX_WEIGHT = 10_000.0
# A relay that leaves a request for changes unanswered may run an earlier build than
# its entry tells: it is asked in the former way for this long. More often it was
# starting, and every change that it does not pass on costs a call to the store.
_FORMER_WAY_S = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Hold the location of a proxy.

    `stream_port` takes the streams of other proxies, 0 for none; `weight` is the size
    of its VM beside those of others; `protocol` tells what its build understands.
    """

    vm: str
    failure_domain: str
    endpoint: Endpoint
    stream_port: int = 0
    weight: float = 1.0
    protocol: int = 1

    @classmethod
    def decode(cls, vm: str, spec: t.Any) -> "Peer":
        """Return a proxy's entry in the store; raise ValueError."""
        try:
            peer = cls(
                vm,
                spec["failure_domain"],
                Endpoint.parse(spec["address"]),
                int(spec.get("stream_port", 0)),
                float(spec.get("weight", 1.0)),
                int(spec.get("protocol", 1)),
            )
        except (KeyError, TypeError, AttributeError, OverflowError) as exc:
            raise ValueError(f"invalid entry: {exc!r}") from exc
        if not isinstance(peer.failure_domain, str):
            raise ValueError("invalid failure domain")
        if not 0 <= peer.stream_port <= MAX_PORT:
            raise ValueError("invalid port of streams")
        if not 0.0 <= peer.weight <= _MAX_WEIGHT:
            raise ValueError("invalid weight")
        return peer


def choose_relays(
    subject: str, peers: t.Iterable[Peer], failure_domain: str | None = None
) -> list[Peer]:
    """Return the relays of a subject in a failure domain, the first preferred.

    Without a failure domain, return those of the fleet. The subject is a service, for
    its positions, or `CLAIMS` or `MIRRORS`. All proxies with the same list of peers
    compute the same relays.
    """
    eligible = [peer for peer in peers if failure_domain in (None, peer.failure_domain)]
    return rank_peers(subject, eligible)[:_RELAYS]


def rank_peers(subject: str, peers: t.Iterable[Peer]) -> list[Peer]:
    """Return proxies in the order in which they are responsible for a subject."""
    return sorted(peers, key=lambda peer: zlib.crc32(f"{subject}/{peer.vm}".encode()))


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
        self._fleet_relays: list[Peer] = []
        self._peer_addresses: set[tuple[str, int]] = set()
        self._relays: dict[str, list[Peer]] = {}
        self._skipped_until: dict[str, float] = {}
        # The claims that this proxy relays; None where none are needed.
        self.claims: ClaimCache | None = None
        # The mirrors whose state this proxy tells others.
        self.mirrors: MirrorMonitor | None = None
        # Answers requests of further types; None if there is no reply.
        self.handlers: dict[type, t.Callable[[t.Any], Message | None]] = {}
        # Called with the live proxies whenever they were listed.
        self.on_peers: t.Callable[[tuple[Peer, ...]], None] = lambda peers: None
        # Relays whose mirrors are old, and those that are asked in the former way.
        self._behind_until: dict[str, float] = {}
        self._former_until: dict[str, float] = {}
        # When proxies last asked for changes, by address.
        self._askers: dict[tuple[t.Any, ...], float] = {}
        self._waiting: dict[int, asyncio.Future[t.Any]] = {}
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
            self._transport = None

    def set_peers(self, peers: t.Iterable[Peer]) -> None:
        """Replace the list of live proxies."""
        self._peers = tuple(peers)
        self._fleet_relays = choose_relays(MIRRORS, self._peers)
        self._peer_addresses = {
            (peer.endpoint.host, peer.endpoint.port) for peer in self._peers
        }
        self._relays.clear()
        if self.mirrors is not None:
            # A proxy that has become a relay of the fleet starts to watch at once.
            self.mirrors.request_soon()
        self.on_peers(self._peers)

    async def request_position(self, group: Group) -> bool:
        """Request a group's position; return whether it is newer than the known one.

        Returns False if this proxy is a relay itself, if every relay is skipped, or if
        the relay does not reply in time.
        """
        sent_at = boottime()
        reply = await self._request(
            group.service, lambda number: PositionRequest(number, group.service)
        )
        if reply is None:
            return False
        # The relay measured the age on its own clock, and its reply followed this
        # proxy's request. The difference is therefore a lower bound for the time of the
        # relay's request to the primary, and the clocks of two machines are never
        # compared.
        return group.record_peer_position(
            Position(reply.term, reply.lsn), sent_at - reply.age_s
        )

    async def request_claims(self) -> ClaimListing | None:
        """Return a relay's claims; None as for positions, or if it has no recent ones.

        `requested_at` of the result is a lower bound, as for positions.
        """
        sent_at = boottime()
        reply = await self._request(CLAIMS, ClaimsRequest, _CLAIMS_TIMEOUT_S)
        if reply is None or reply.age_s is None:
            return None
        return ClaimListing(reply.claims, sent_at - reply.age_s, reply.era)

    async def request_mirrors(self, known: dict[str, int]) -> MirrorListing | None:
        """Return the state of a relay's mirrors; None as for positions.

        With the changes after the known revisions, where the relay passes them on.
        `requested_at` is the time of the request, which the ages are counted from.
        """
        sent_at = boottime()
        relay = self._select_relay(MIRRORS)
        if relay is None:
            return None
        if (
            not known
            or relay.protocol < CHANGES_PROTOCOL
            or self._former_until.get(relay.vm, 0.0) > self._loop.time()
        ):
            reply = await self._request(MIRRORS, MirrorsRequest)
            return self._mirror_listing(relay, sent_at, reply, {})
        reply = await self._request(
            MIRRORS, lambda number: ChangesRequest(number, known)
        )
        if reply is None:
            self._former_until[relay.vm] = self._loop.time() + _FORMER_WAY_S
            return None
        return self._mirror_listing(relay, sent_at, reply, reply.updates)

    def _mirror_listing(
        self, relay: Peer, sent_at: float, reply: t.Any, updates: dict[str, Update]
    ) -> MirrorListing | None:
        if reply is None:
            return None
        is_of_fleet = relay in self._fleet_relays
        limit_s = _MAX_FLEET_RELAY_AGE_S if is_of_fleet else _MAX_RELAY_AGE_S
        if any(state.age_s > limit_s for state in reply.mirrors.values()):
            # It may be refused by the store, or cut off from its own relays.
            self._behind_until[relay.vm] = self._loop.time() + _SKIP_S
        return MirrorListing(reply.mirrors, sent_at, reply.era, updates)

    def notify_changes(self) -> None:
        """Tell the proxies that take changes from this one that there are new ones."""
        if self._transport is None:
            return
        oldest = self._loop.time() - _ASKER_EXPIRY_S
        self._askers = {
            addr: asked_at
            for addr, asked_at in self._askers.items()
            if asked_at > oldest
        }
        data = encode(ChangesNotice(0))
        for addr in self._askers:
            self._transport.sendto(data, addr)

    def is_mirror_relay_of_fleet(self) -> bool:
        """Return whether the other proxies rely on this one's mirrors."""
        relays = self._fleet_relays
        return len(relays) == _RELAYS and any(peer.vm == self._vm for peer in relays)

    async def _request(
        self,
        subject: str,
        make_request: t.Callable[[int], Message],
        timeout_s: float = _REPLY_TIMEOUT_S,
    ) -> t.Any:
        """Return a relay's reply, None if there is no relay or it does not reply."""
        relay = self._select_relay(subject)
        if relay is None or self._transport is None:
            return None
        try:
            return await self._exchange(relay, make_request, timeout_s)
        except (OSError, ValueError) as exc:
            # No answer in time, or an address that nothing can be sent to.
            self._skipped_until[relay.vm] = self._loop.time() + _SKIP_S
            reason = str(exc) or "no reply in time"
            self._log.write(
                "home_silent", service=subject, home=relay.vm, reason=reason
            )
            return None

    async def ask(
        self, peer: Peer, make_request: t.Callable[[int], Message], timeout_s: float
    ) -> t.Any:
        """Return a proxy's reply, None if none arrives in time.

        The time is that of `boottime`: a reply that waited while this machine was
        suspended is late.
        """
        sent_at = boottime()
        if peer.vm == self._vm:
            request = make_request(0)
            return self.handlers[type(request)](request)
        if self._transport is None:
            return None
        try:
            reply = await self._exchange(peer, make_request, timeout_s)
        except (OSError, ValueError):
            return None
        return reply if boottime() - sent_at <= timeout_s else None

    async def _exchange(
        self, peer: Peer, make_request: t.Callable[[int], Message], timeout_s: float
    ) -> t.Any:
        """Return a reply; raise TimeoutError, OSError or ValueError."""
        self._last_number += 1
        number = self._last_number
        fut: asyncio.Future[t.Any] = self._loop.create_future()
        self._waiting[number] = fut
        try:
            address = (peer.endpoint.host, peer.endpoint.port)
            self._transport.sendto(encode(make_request(number)), address)
            async with asyncio.timeout(timeout_s):
                return await fut
        finally:
            del self._waiting[number]

    def _select_relay(self, subject: str) -> Peer | None:
        relays = self._relays.get(subject)
        if relays is None:
            relays = self._relays[subject] = self._choose_relays(subject)
        now = self._loop.time()
        skips = [self._skipped_until]
        if subject == MIRRORS:
            skips.append(self._behind_until)
        return next(
            (
                peer
                for peer in relays
                if all(skipped.get(peer.vm, 0.0) <= now for skipped in skips)
            ),
            None,
        )

    def _choose_relays(self, subject: str) -> list[Peer]:
        """Return the relays to ask; none if this proxy is a relay itself."""
        nearby = choose_relays(subject, self._peers, self._failure_domain)
        is_relay = any(peer.vm == self._vm for peer in nearby)
        if subject not in (CLAIMS, MIRRORS):
            return [] if is_relay else nearby
        fleet = choose_relays(subject, self._peers)
        if any(peer.vm == self._vm for peer in fleet):
            return []
        if is_relay:
            return fleet
        # A cut may leave a proxy with the relays of the fleet only.
        return nearby + fleet if subject == MIRRORS else nearby

    def datagram_received(self, data: bytes, addr: tuple[t.Any, ...]) -> None:
        """Handle a request or a reply; log a datagram that cannot be decoded."""
        try:
            message = decode(data)
        except (ValueError, TypeError, OverflowError, RecursionError):
            self._log.write("datagram_unreadable", sender=addr[0])
            return
        if isinstance(message, PositionRequest):
            self._spawn(self._reply(message, addr))
            return
        if isinstance(message, ClaimsRequest):
            self._spawn(self._reply_claims(message, addr))
            return
        if isinstance(message, MirrorsRequest):
            self._reply_mirrors(message, addr)
            return
        if isinstance(message, ChangesRequest):
            self._reply_changes(message, addr)
            return
        if isinstance(message, ChangesNotice):
            if self.mirrors is not None:
                self.mirrors.request_soon()
            return
        handler = self.handlers.get(type(message))
        if handler is not None:
            reply = handler(message)
            if reply is not None and self._transport is not None:
                self._transport.sendto(encode(reply), addr)
            return
        fut = self._waiting.get(message.number)
        if fut is not None and not fut.done():
            fut.set_result(message)

    def _spawn(self, work: t.Coroutine[t.Any, t.Any, None]) -> None:
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _reply_claims(
        self, request: ClaimsRequest, addr: tuple[t.Any, ...]
    ) -> None:
        if self.claims is None:
            return
        is_fresh = await self.claims.refresh(boottime() - RELAYED_AGE_S)
        claims, requested_at, era = self.claims.listing()
        age_s = max(0.0, boottime() - requested_at) if is_fresh else None
        if self._transport is not None:
            reply = ClaimsReply(request.number, age_s, era, claims)
            self._transport.sendto(encode(reply), addr)

    def _reply_mirrors(self, request: MirrorsRequest, addr: tuple[t.Any, ...]) -> None:
        if self.mirrors is None or self._transport is None:
            return
        states, era = self.mirrors.states()
        self._transport.sendto(encode(MirrorsReply(request.number, era, states)), addr)

    def _reply_changes(self, request: ChangesRequest, addr: tuple[t.Any, ...]) -> None:
        if self.mirrors is None or self._transport is None:
            return
        states, era = self.mirrors.states()
        updates = {}
        if addr[:2] in self._peer_addresses:
            # A configuration holds the keys of callers: only listed proxies get it.
            self._askers[addr] = self._loop.time()
            updates = self.mirrors.updates_after(request.known)
        try:
            data = encode(ChangesReply(request.number, era, states, updates))
        except RecursionError:
            # An entry is nested deeper than can be encoded, though it was decoded.
            data = b""
        if not data or len(data) > _MAX_CHANGES_BYTES:
            # The states show the other proxy that it has to ask the store.
            data = encode(ChangesReply(request.number, era, states, {}))
        self._transport.sendto(data, addr)

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
