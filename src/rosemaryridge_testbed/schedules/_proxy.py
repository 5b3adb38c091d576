"""Assemble proxies whose network is the model."""

import asyncio
import dataclasses
import random
import typing as t

from rosemaryridge.core import ClaimCache
from rosemaryridge.core import Consistency
from rosemaryridge.core import Failover
from rosemaryridge.core import FleetConfig
from rosemaryridge.core import Peer
from rosemaryridge.core import Proxy
from rosemaryridge.core import Route
from rosemaryridge.core import Shares
from rosemaryridge.core import StoreEra
from rosemaryridge.core.commands import ConnectFailed
from rosemaryridge.core.owners.service import Owners
from rosemaryridge.core.store import RELAYED_AGE_S
from rosemaryridge.core.store import ClaimListing
from rosemaryridge.core.zones import Surroundings
from rosemaryridge.model import Endpoint
from rosemaryridge_testbed.schedules._streams import Streams
from rosemaryridge_testbed.schedules._world import SERVICE
from rosemaryridge_testbed.schedules._world import ModelLink
from rosemaryridge_testbed.schedules._world import ModelOrders
from rosemaryridge_testbed.schedules._world import ModelStore
from rosemaryridge_testbed.schedules._world import ModelTarget
from rosemaryridge_testbed.schedules._world import World

DATABASE = b"books-orders"
_ROUTE = Route(DATABASE, SERVICE, Consistency.PRIMARY, 0.8, 0.5, 1)


@dataclasses.dataclass(frozen=True, slots=True)
class Options:
    """Set the size of a schedule; a command occupies its target for up to `work_s`.

    `proofs` is false to trust primaries without a proof. With `fenced`, outdated orders
    are refused, and a promotion deposes the former primary wherever it is.
    `late_orders` is the share of promotion orders that are carried out late. With
    `owned`, targets accept fewer connections than there are proxies, which reach them
    through owners; proxies are killed too. With `sync_replicas`, a commit is
    acknowledged once a replica has it; `tells_sync` is whether the proxies know.
    """

    targets: int = 3
    proxies: int = 4
    callers: int = 6
    faults: int = 6
    duration_s: float = 14.0
    promotion_s: float = 0.4
    work_s: float = 0.0
    late_orders: float = 0.0
    restored_stores: bool = True
    proofs: bool = True
    fenced: bool = False
    owned: bool = False
    sync_replicas: int = 0
    tells_sync: bool = True
    # Time that callers rest between statements beside a random one.
    rest_s: float = 0.0
    # Whether replicas receive commits at different paces.
    far_replicas: bool = False
    # Within which proxies learn of a target that joins.
    entry_delay_s: float = 0.0
    # What a target accepts, and how many proxies share it where not all of them run.
    connections: int = 60
    counted: int = 0
    routes: tuple[Route, ...] = (_ROUTE,)


class _Log:
    """Drop the log lines, or print them."""

    left_out = 0

    def __init__(self, vm: str, trace: bool):
        self._vm = vm
        self._trace = trace

    def write(self, event: str, **fields: t.Any) -> None:
        if self._trace:
            now = asyncio.get_running_loop().time()
            print(f"{now:8.3f} {self._vm} {event} {fields}")


class ModelProxy:
    """Assemble a proxy whose network is the model."""

    def __init__(
        self,
        name: str,
        world: World,
        streams: Streams,
        options: Options,
        seed: str,
        trace: bool,
    ):
        self.name = name
        self.world = world
        self.streams = streams
        rng = random.Random(seed)
        log = t.cast(t.Any, _Log(name, trace))
        shares = Shares()
        era = StoreEra(log)
        self.alive = True
        store = ModelStore(world, name, era, lambda: self.alive)
        self._store = store
        self.failover = Failover(
            name,
            t.cast(t.Any, store),
            ModelOrders(world, name, options.late_orders, lambda: self.alive),
            shares,
            log,
            rng,
            options.proofs and not options.fenced,
            era,
        )
        self.failover.refresh_targets = self._refresh_targets
        self.proxy = Proxy(
            Surroundings("a", {}),
            self._connect,
            rng,
            log,
            self.failover.on_suspect,
            shares,
        )
        self.claims = ClaimCache(t.cast(t.Any, store), log, era)
        if options.proofs:
            self.proxy.directory.claims = self.claims
            self.proxy.directory.deposed_go_on = not options.fenced
        self._links: list[ModelLink] = []
        routes = {route.database: route for route in options.routes}
        sync_replicas = options.sync_replicas if options.tells_sync else 0
        config = FleetConfig(
            1,
            routes,
            {SERVICE: options.connections},
            3.0,
            sync_replicas={SERVICE: sync_replicas},
        )
        self.proxy.adopt_config(config)
        self.proxy.directory.replace(tgt.info for tgt in world.targets.values())
        self.owners: Owners | None = None
        if options.owned:
            self._own_targets(options, shares, log, rng)
        self.proxy.set_proxy_count(options.counted or options.proxies)
        self.proxy.check_ready()

    def _own_targets(
        self, options: Options, shares: Shares, log: t.Any, rng: random.Random
    ) -> None:
        directory = self.proxy.directory
        self.owners = Owners(
            self.name,
            Surroundings("a", {}),
            directory,
            shares,
            self._connect_directly,
            log,
            self.proxy.metrics,
            rng,
            lambda factory, host, port: self.streams.open(self.name, factory, host),
        )
        directory.is_owned = self.owners.is_owned
        self.streams.listen(self.name, self.owners.accept)
        shares.proxy_count = options.counted or options.proxies
        self.owners.set_peers(
            Peer(f"p{n}", "a", Endpoint(f"p{n}", 1), 1) for n in range(options.proxies)
        )

    def kill(self) -> None:
        """End the process: its streams are reset, its connections drop."""
        self.alive = False
        self.failover.stopping = True
        self.streams.kill(self.name)
        if self.owners is not None:
            self.owners.close()
        for link in self._links:
            link.drop()

    def learn(self, target: ModelTarget) -> None:
        """Learn of a target that has joined."""
        if self.alive:
            self.proxy.directory.put(target.info)

    async def _refresh_targets(self, group: t.Any) -> None:
        """Read the list of targets, as it is now, from the store."""
        infos = await self._store.read_targets()
        self.proxy.directory.add_missing(group.service, infos)

    async def _connect(self, info: t.Any, timeout_s: float, business: str) -> t.Any:
        if self.owners is not None:
            return await self.owners.connect(info, timeout_s, business)
        return await self._connect_directly(info, timeout_s, business)

    async def _connect_directly(
        self, info: t.Any, timeout_s: float, business: str
    ) -> t.Any:
        target = self.world.targets[info.id]
        if not await self.world.travel(self.name, info.id):
            await asyncio.sleep(timeout_s)
            raise ConnectFailed("no answer")
        await self.world.travel(self.name, info.id)
        if target.crashed:
            raise ConnectFailed("nothing listens", refused=True)
        if self.world.is_full(target):
            raise ConnectFailed("too many connections", full=True)
        await target.occupy_slot(self.world.handshake_s)
        if not self.alive:
            raise ConnectFailed("the process has ended")
        link = ModelLink(self.name, target, business)
        self._links = [other for other in self._links if not other.closed]
        self._links.append(link)
        return link

    async def relay_claims(self, asking: str) -> ClaimListing | None:
        """Return this proxy's claims to another one, as a relay does."""
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        if not await self.world.travel(asking, self.name):
            await asyncio.sleep(0.15)
            return None
        if not await self.claims.refresh(loop.time() - RELAYED_AGE_S):
            return None
        claims, requested_at, era = self.claims.listing()
        age_s = loop.time() - requested_at
        if not await self.world.travel(asking, self.name):
            return None
        return ClaimListing(claims, sent_at - age_s, era)
