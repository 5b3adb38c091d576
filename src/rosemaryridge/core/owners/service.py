"""Reachability targets through their owners, and serve those that this proxy owns."""

import asyncio
import collections
import random
import typing as t

from rosemaryridge.core._directory import Directory
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._metrics import Labels
from rosemaryridge.core._metrics import MetricsRegistry
from rosemaryridge.core._peers import Peer
from rosemaryridge.core._shares import Shares
from rosemaryridge.core._shutdown import Shutdown
from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.core._timeout import running_timeout
from rosemaryridge.core.commands import Connect
from rosemaryridge.core.commands import ConnectFailed
from rosemaryridge.core.commands import TargetLink
from rosemaryridge.core.owners._links import OwnedLink
from rosemaryridge.core.owners._messages import Stopping
from rosemaryridge.core.owners._policy import OwnersMode
from rosemaryridge.core.owners._policy import connection_limit
from rosemaryridge.core.owners._policy import connects_directly
from rosemaryridge.core.owners._policy import direct_share
from rosemaryridge.core.owners._policy import rank_owners
from rosemaryridge.core.owners._reachability import Reachability
from rosemaryridge.core.owners._streams import LocalStream
from rosemaryridge.core.owners._streams import OwnerStream
from rosemaryridge.core.owners._streams import RemoteStream
from rosemaryridge.core.owners._streams import SenderStream
from rosemaryridge.core.owners._targets import OwnedTargets
from rosemaryridge.core.zones import Distance
from rosemaryridge.core.zones import Surroundings

# Two round trips to another region take 80 ms.
_OPEN_TIMEOUT_S = 0.25
# An owner that is silent is skipped for this long.
_SKIP_S = 3.0
# One whose address refuses a stream is starting, or does not own targets yet; so is one
# that has stopped.
_REFUSED_SKIP_S = 0.3
# Time that an owner's reply takes, and that it is given beside it.
_REPLY_MARGIN_S = {
    Distance.SAME_DOMAIN: 0.02,
    Distance.SAME_REGION: 0.025,
    Distance.OTHER_REGION: 0.06,
}


# Opens a TCP connection to a host and a port for the protocol of a factory.
Dial = t.Callable[[t.Callable[[], asyncio.Protocol], str, int], t.Awaitable[t.Any]]


class Owners:
    """Connect to targets through owners, and own some of them."""

    def __init__(
        self,
        vm: str,
        surroundings: Surroundings,
        directory: Directory,
        shares: Shares,
        connect: Connect,
        log: EventLog,
        metrics: MetricsRegistry,
        rng: random.Random,
        dial: Dial | None = None,
        mode: OwnersMode = OwnersMode.AUTO,
    ):
        self._vm = vm
        self._surroundings = surroundings
        self._directory = directory
        self._shares = shares
        self._connect_directly = connect
        self._mode = mode
        self._log = log
        self._metrics = metrics
        self._owned = OwnedTargets(
            directory.groups, connect, self._limit_for, log, metrics, rng
        )
        self._peers: dict[str, Peer] = {}
        # The owner and the reserve of each target, by its id and failure domain.
        self._ranks: dict[tuple[str, str], list[str]] = {}
        self._streams: dict[str, SenderStream] = {vm: LocalStream(vm, self._owned)}
        self._opening: dict[str, asyncio.Task[SenderStream | None]] = {}
        self._skipped_until: dict[str, float] = {}
        # By owner and target.
        self._reachabilities: collections.defaultdict[tuple[str, str], Reachability] = (
            collections.defaultdict(Reachability)
        )
        # Connections of this proxy beside its owners', by target.
        self._direct: dict[str, list[TargetLink]] = {}
        self._direct_opening: collections.Counter[str] = collections.Counter()
        self._incoming: set[OwnerStream] = set()
        self.stopping = False
        self._loop = asyncio.get_running_loop()
        self._dial: Dial = dial or self._loop.create_connection
        metrics.add_gauges(self._gauges)

    @property
    def busy(self) -> bool:
        """Return whether statements or transactions of other proxies are under way."""
        return self._owned.busy

    def accept(self) -> OwnerStream:
        """Return the protocol of a stream that another proxy opens."""
        return OwnerStream(
            self._owned,
            lambda: self.stopping,
            self._incoming.add,
            self._on_sender_lost,
        )

    def stop(self, shutdown: Shutdown) -> None:
        """Take no new links; those with open transactions go on by the plan."""
        self.stopping = True
        self._owned.shutdown = shutdown
        for stream in self._incoming:
            stream.send(Stopping())

    def end_batches(self) -> int:
        """Answer the batches that are outstanding; return how many there were."""
        return self._owned.end_batches()

    def close(self) -> None:
        """Close every stream and connection."""
        for task in self._opening.values():
            task.cancel()
        for stream in list(self._streams.values()):
            stream.end("this proxy stops")
        for incoming in list(self._incoming):
            incoming.close()
        self._owned.close()

    def set_peers(self, peers: t.Iterable[Peer]) -> None:
        """Replace the list of live proxies."""
        before = {key: ranks[0] for key, ranks in self._ranks.items() if ranks}
        self._peers = {peer.vm: peer for peer in peers}
        self._ranks.clear()
        self._reachabilities.clear()
        for (target, domain), owner in before.items():
            now = self._rank(target, domain)
            if now and now[0] != owner:
                self._log.write(
                    "owner_changed",
                    target=target,
                    owner=now[0],
                    before=owner,
                    reason="the list of proxies changed",
                    proxies=len(self._peers),
                )
        self.resize()

    def resize(self) -> None:
        """Apply the current limits and list of targets to what this proxy owns."""
        self._owned.resize()

    def is_owned(self, info: TargetInfo) -> bool:
        """Return whether this proxy reaches a target through its owner."""
        connections = self._directory.connections(info.service)
        if connections is None or not self._peers:
            return False
        if self._mode is OwnersMode.OWNED:
            return True
        share = direct_share(connections, self._shares.proxy_count)
        return share < 1.0 and not connects_directly(self._vm, info.id, share)

    async def connect(
        self, info: TargetInfo, timeout_s: float, business: str
    ) -> TargetLink:
        """Return a link to a target, by its owner, its reserve or directly.

        Raises ConnectFailed.
        """
        if not self.is_owned(info):
            return await self._connect_directly(info, timeout_s, business)
        for vm in self._rank(info.id, info.failure_domain):
            stream = await self._find_stream(vm, info)
            if stream is not None:
                self._metrics.inc("links_total", by="owner")
                return self._link(info, business, stream)
        return await self._connect_beside(info, timeout_s, business)

    async def _connect_beside(
        self, info: TargetInfo, timeout_s: float, business: str
    ) -> TargetLink:
        """Connect to a target whose owner and reserve cannot be used."""
        links = self._direct.setdefault(info.id, [])
        links[:] = [link for link in links if not link.closed]
        used = len(links) + self._direct_opening[info.id]
        if used >= self._directory.direct_limit(info.service):
            raise ConnectFailed("no owner can be reached", withheld=True)
        self._metrics.inc("links_total", by="none")
        self._direct_opening[info.id] += 1
        try:
            link = await self._connect_directly(info, timeout_s, business)
        finally:
            self._direct_opening[info.id] -= 1
        links.append(link)
        return link

    def _link(self, info: TargetInfo, business: str, stream: SenderStream) -> OwnedLink:
        peer = self._peers.get(stream.vm)
        distance = Distance.SAME_DOMAIN
        if peer is not None:
            distance = self._surroundings.distance_to(peer.failure_domain)

        margin_s = _REPLY_MARGIN_S[distance]
        return OwnedLink(
            info, business, stream, margin_s, self._reachabilities[stream.vm, info.id]
        )

    async def _find_stream(self, vm: str, info: TargetInfo) -> SenderStream | None:
        """Return a stream to an owner; None if it is skipped or cannot be reached."""
        now = self._loop.time()
        if self._reachabilities[vm, info.id].is_doubted(now):
            return None
        stream = self._streams.get(vm)
        if stream is not None and not stream.ended:
            return None if stream.stopping else stream
        if self._skipped_until.get(vm, 0.0) > now or vm not in self._peers:
            return None
        task = self._opening.get(vm)
        if task is None:
            task = self._loop.create_task(self._open(self._peers[vm]))
            self._opening[vm] = task
            task.add_done_callback(lambda _: self._opening.pop(vm, None))
        return await asyncio.shield(task)

    async def _open(self, peer: Peer) -> SenderStream | None:
        stream = RemoteStream(peer.vm, self._vm, self._on_ended)
        try:
            async with running_timeout(_OPEN_TIMEOUT_S):
                await self._dial(lambda: stream, peer.endpoint.host, peer.stream_port)
                await stream.welcomed
        except (OSError, TimeoutError) as exc:
            stream.end(str(exc) or "no answer in time")
            if isinstance(exc, ConnectionRefusedError):
                skipped_until = self._loop.time() + _REFUSED_SKIP_S
                self._skipped_until[peer.vm] = skipped_until
            return None
        # A stream to an owner that stops shows when its process has ended.
        self._streams[peer.vm] = stream
        return None if stream.stopping else stream

    def _on_ended(self, stream: SenderStream, reason: str) -> None:
        if self._streams.get(stream.vm) is stream:
            del self._streams[stream.vm]
        skip_s = _REFUSED_SKIP_S if stream.stopping else _SKIP_S
        self._skipped_until[stream.vm] = self._loop.time() + skip_s
        self._metrics.inc("owner_streams_ended_total")
        self._log.write("owner_unreachable", owner=stream.vm, reason=reason)

    def _on_sender_lost(self, stream: OwnerStream, reason: str) -> None:
        self._incoming.discard(stream)
        if reason:
            self._log.write("sender_lost", sender=stream.vm, reason=reason)

    def _rank(self, target: str, failure_domain: str) -> list[str]:
        """Return the owner and the reserve of a target, near to it."""
        ranks = self._ranks.get((target, failure_domain))
        if ranks is None:
            ranks = rank_owners(target, self._eligible(failure_domain))
            self._ranks[target, failure_domain] = ranks
        return ranks

    def _eligible(self, failure_domain: str) -> dict[str, float]:
        """Return the weights of the proxies in a failure domain.

        Those of its region, or all, if it has fewer than two.
        """
        region = self._surroundings.region_of
        able = [peer for peer in self._peers.values() if peer.stream_port]
        for is_near in (
            lambda peer: peer.failure_domain == failure_domain,
            lambda peer: region(peer.failure_domain) == region(failure_domain),
        ):
            near = {peer.vm: peer.weight for peer in able if is_near(peer)}
            if len(near) > 1:
                return near
        return {peer.vm: peer.weight for peer in able}

    def _limit_for(self, info: TargetInfo) -> int:
        """Return how many connections this proxy may open as a target's owner."""
        connections = self._directory.connections(info.service)
        if connections is None:
            return 0
        # Before the proxies are listed, the senders' lists must do.
        ranks = (
            self._rank(info.id, info.failure_domain) if self._peers else ["", self._vm]
        )
        rank = ranks.index(self._vm) if self._vm in ranks else len(ranks)
        return connection_limit(connections, rank, self._shares.just_started)

    def _gauges(self) -> t.Iterator[tuple[str, Labels, float]]:
        owned = sum(1 for ranks in self._ranks.values() if ranks[:1] == [self._vm])
        yield "owned_targets", (), owned
        yield "owner_streams", (("direction", "out"),), len(self._streams) - 1
        yield "owner_streams", (("direction", "in"),), len(self._incoming)
