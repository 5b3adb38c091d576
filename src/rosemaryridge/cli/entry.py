"""Run the proxy of one entry VM on the users' platform."""

import asyncio
import functools
import os
import random
import signal
import sys
import typing as t

import uvloop

from rosemaryridge.core import PROTOCOL
from rosemaryridge.core import ClaimCache
from rosemaryridge.core import EventLog
from rosemaryridge.core import Failover
from rosemaryridge.core import Group
from rosemaryridge.core import MirrorMonitor
from rosemaryridge.core import Peer
from rosemaryridge.core import Peers
from rosemaryridge.core import Proxy
from rosemaryridge.core import ProxyRegistry
from rosemaryridge.core import RetryGate
from rosemaryridge.core import Shares
from rosemaryridge.core import Shutdown
from rosemaryridge.core import StoreEra
from rosemaryridge.core import StoreMirror
from rosemaryridge.core import TargetInfo
from rosemaryridge.core.commands import TargetLink
from rosemaryridge.core.owners import OwnersMode
from rosemaryridge.core.owners import direct_share
from rosemaryridge.core.quotas import QuotaPolicy
from rosemaryridge.core.store import UnreadableEntries
from rosemaryridge.core.zones import Surroundings
from rosemaryridge.exceptions import SettingsError
from rosemaryridge.exceptions import StoreError
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.platform import documents
from rosemaryridge.platform import target
from rosemaryridge.platform.callers import CallerServer
from rosemaryridge.platform.http import READINESS_PATH
from rosemaryridge.platform.http import HttpServer
from rosemaryridge.platform.promotions import PromotionClient
from rosemaryridge.platform.settings import VmSettings
from rosemaryridge.platform.settings import load_settings
from rosemaryridge.platform.settings import settings_path
from rosemaryridge.platform.store import Change
from rosemaryridge.platform.store import Store
from rosemaryridge.platform.store import StoredObject

if t.TYPE_CHECKING:
    from rosemaryridge.core.owners.service import Owners

# The balancer probes readiness once a second and routes callers here until two
# probes in a row have failed.
_BALANCER_DELAY_S = 2.5
_DRAIN_POLL_S = 0.05
# The settings file may change without a signal.
_SETTINGS_POLL_S = 5.0
_EXIT_BAD_SETTINGS = 2
# A proxy is isolated if some group has had no primary or some target has not answered
# for this long (two attempts), and the store is unreachable as well. Other proxies of
# the same failure domain may still be connected.
_ISOLATION_AFTER_S = 0.5
_ISOLATION_POLL_S = 0.25
# A connection that is opened in the first moments waits this long for the list of
# proxies.
_FIRST_LIST_S = 0.3
# Target changes are collected for up to this long, because targets that start together
# register one after the other. A draining target still serves for at least 7 s.
_TARGET_BATCHING_S = 3.0
# A healthy store answers in 4 ms; a slow one rarely takes longer than this.
_STORE_PROBE_S = 0.4
# Interval of store probes while isolation is suspected; each call is billed.
_STORE_PROBE_PERIOD_S = 1.0


class Entry:
    """Connect the proxy to callers, targets, peers and the platform's store."""

    def __init__(self, cfg: VmSettings, path: str, log: EventLog):
        self._cfg = cfg
        self._path = path
        self._settings_mtime = _modification_time(path)
        self._stopping = asyncio.Event()
        self._listed_peers: list[Peer] = []
        # Set once the proxies were listed, or have not been in time.
        self._proxies_listed = asyncio.Event()
        self._isolated = False
        self._isolated_at = 0.0
        self._log = log
        rng = random.Random()
        self._era = StoreEra(log)
        self._unreadable = UnreadableEntries(log)
        self._store = Store(
            cfg.store,
            self._era,
            functools.partial(self._unreadable.report, "object_unreadable"),
        )
        self._promotions = PromotionClient(cfg.promotions, cfg.vm)
        shares = Shares()
        self._failover = Failover(
            cfg.vm,
            self._store,
            self._promotions,
            shares,
            self._log,
            rng,
            cfg.deposed_go_on,
            self._era,
        )
        self._failover.refresh_targets = self._add_missing_targets
        surroundings = Surroundings(cfg.failure_domain, cfg.regions)
        self._surroundings = surroundings
        # Reaches targets through their owners; None while no target has fewer
        # connections than the proxies need.
        self._owners: Owners | None = None
        self._stream_server: asyncio.Server | None = None
        self._shares = shares
        self._rng = rng
        self._proxy = Proxy(
            surroundings,
            self._connect_target,
            rng,
            self._log,
            self._failover.on_suspect,
            shares,
        )
        self._peers = Peers(
            cfg.vm, cfg.failure_domain, self._proxy.directory.groups, self._log
        )
        self._era.subscribe(self._proxy.directory.on_new_era)
        self._proxy.directory.request_position = self._peers.request_position
        claims = ClaimCache(self._store, self._log, self._era, cfg.first_start)
        claims.request_from_relay = self._peers.request_claims
        self._proxy.directory.claims = self._peers.claims = claims
        self._proxy.directory.deposed_go_on = cfg.deposed_go_on
        self._proxy_registry = ProxyRegistry(
            cfg.vm, self._store, self._on_proxies_listed, self._log, rng, self._era
        )
        if cfg.quota_policy is not None:
            self._add_quotas(cfg.quota_policy, surroundings, rng)
        self._callers = CallerServer(self._proxy, cfg.descriptors)
        self._http_server = HttpServer(
            {
                READINESS_PATH: self._readiness,
                "/metrics": lambda: (200, self._proxy.metrics.render()),
            }
        )
        self._proxy.metrics.add_gauges(self._collect_gauges)
        gate = RetryGate()
        self._mirrors = (
            StoreMirror(
                self._store,
                documents.CONFIG_KIND,
                self._adopt_configs,
                lambda change: self._adopt_configs((change.object,)),
                self._log,
                rng,
                gate,
                era=self._era,
                takes_changes=cfg.takes_changes,
            ),
            StoreMirror(
                self._store,
                documents.TARGETS_KIND,
                self._replace_targets,
                self._apply_target_change,
                self._log,
                rng,
                gate,
                _TARGET_BATCHING_S,
                self._era,
                cfg.takes_changes,
            ),
        )
        self._proxy.requires_keys = cfg.requires_keys
        if cfg.revocation_s is not None:
            self._proxy.config_age_s = self._mirrors[0].age_s
            self._proxy.max_config_age_s = cfg.revocation_s
        self._proxy.directory.drain_s = cfg.drain_s
        self._proxy.directory.report_age_s = self._mirrors[1].report_age_s
        self._mirror_monitor = MirrorMonitor(self._mirrors, self._era, self._log, rng)
        self._mirror_monitor.request_from_relay = self._peers.request_mirrors
        self._mirror_monitor.is_relay_of_fleet = self._peers.is_mirror_relay_of_fleet
        self._peers.mirrors = self._mirror_monitor
        for mirror in self._mirrors:
            mirror.on_reported = self._peers.notify_changes

    def _add_quotas(
        self, policy: QuotaPolicy, surroundings: Surroundings, rng: random.Random
    ) -> None:
        # Loaded here: other deployments need not pay for its memory.
        from rosemaryridge.core.quotas.service import Quotas

        quotas = Quotas(
            self._cfg.vm,
            surroundings,
            policy,
            self._peers,
            self._log,
            self._proxy.metrics,
            rng,
        )
        self._proxy.quotas = quotas
        self._proxy_registry.on_already_registered = quotas.settle
        if self._cfg.first_start:
            quotas.settle_once_listed()

    async def _connect_target(
        self, info: TargetInfo, timeout_s: float, business: str
    ) -> TargetLink:
        if not self._proxies_listed.is_set():
            await self._wait_for_proxies()
        if self._owners is not None:
            return await self._owners.connect(info, timeout_s, business)
        return await target.connect(info, timeout_s, business)

    async def _wait_for_proxies(self) -> None:
        """Wait shortly for the list of proxies: it tells whether owners are needed."""
        try:
            async with asyncio.timeout(_FIRST_LIST_S):
                await self._proxies_listed.wait()
        except TimeoutError:
            # The store is away; one proxy more must do without the list.
            self._proxies_listed.set()

    def _update_owners(self) -> None:
        """Use owners once some target accepts fewer connections than are needed."""
        directory = self._proxy.directory
        if self._owners is None and self._needs_owners():
            self._start_owners()
        if self._owners is not None:
            self._owners.set_peers(self._listed_peers)
            directory.resize_pools()

    def _needs_owners(self) -> bool:
        if self._cfg.owners is not OwnersMode.AUTO:
            return self._cfg.owners is OwnersMode.OWNED
        directory, proxies = self._proxy.directory, self._shares.proxy_count
        limits = map(directory.connections, directory.groups)
        return any(
            limit is not None and direct_share(limit, proxies) < 1.0 for limit in limits
        )

    def _start_owners(self) -> "Owners":
        # Loaded here: other deployments need not pay for its memory.
        from rosemaryridge.core.owners.service import Owners

        directory = self._proxy.directory
        self._owners = Owners(
            self._cfg.vm,
            self._surroundings,
            directory,
            self._shares,
            target.connect,
            self._log,
            self._proxy.metrics,
            self._rng,
            mode=self._cfg.owners,
        )
        if self._cfg.owners is not OwnersMode.DIRECT:
            directory.is_owned = self._owners.is_owned
        self._owners.set_peers(self._listed_peers)
        if self._proxy.shutdown is not None:
            self._owners.stop(self._proxy.shutdown)
        return self._owners

    def _accept_stream(self) -> asyncio.Protocol:
        # Other proxies may know sooner than this one that owners are needed.
        return (self._owners or self._start_owners()).accept()

    async def _listen_for_streams(self, bound: Endpoint) -> int:
        """Listen on the TCP port of the same number; return it, 0 if it is taken."""
        loop = asyncio.get_running_loop()
        try:
            self._stream_server = await loop.create_server(
                self._accept_stream, bound.host, bound.port
            )
        except OSError as exc:
            # Without the port in its entry, this proxy is no owner.
            self._log.write("owner_port_failed", reason=str(exc))
            return 0
        return bound.port

    async def run(self) -> None:
        """Serve until SIGTERM."""
        loop = asyncio.get_running_loop()
        for sig in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(sig, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._reload)
        self._log.write(
            "started", pid=os.getpid(), failure_domain=self._cfg.failure_domain
        )
        bound = await self._peers.start(self._cfg.callers.host, self._cfg.peer_ports[0])
        self._proxy_registry.entry_fields = {
            "failure_domain": self._cfg.failure_domain,
            "address": str(bound),
            "stream_port": await self._listen_for_streams(bound),
            "weight": self._cfg.weight,
            "protocol": PROTOCOL,
        }
        store_tasks = [
            loop.create_task(source.run())
            for source in (
                *self._mirrors,
                self._mirror_monitor,
                self._proxy_registry,
            )
        ]
        for task in store_tasks:
            task.add_done_callback(self._on_store_task_done)
        tasks = [loop.create_task(self._poll_settings())]
        tasks.append(loop.create_task(self._watch_isolation()))
        try:
            await self._http_server.start(self._cfg.readiness)
            await self._callers.start(self._cfg.callers)
            await self._stopping.wait()
            await self._drain()
        finally:
            for task in (*tasks, *store_tasks):
                task.cancel()
            self.close()

    def stop(self) -> None:
        """Start the shutdown, as SIGTERM does."""
        self._stopping.set()

    def close(self) -> None:
        """Close every connection and listener."""
        self._callers.stop_listening()
        self._callers.close()
        self._http_server.close()
        self._proxy.directory.close()
        self._store.close()
        self._promotions.close()
        self._peers.close()
        if self._stream_server is not None:
            self._stream_server.close()
        if self._owners is not None:
            self._owners.close()

    def _on_store_task_done(self, task: asyncio.Task) -> None:
        if not task.cancelled() and task.exception() is not None:
            self._log.write("follower_failed", reason=repr(task.exception()))
            # The process cannot work without store updates; a restart may recover.
            os._exit(1)

    async def _drain(self) -> None:
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        self._log.write("stopping", callers=len(self._callers.connections))
        self._failover.stopping = True
        shutdown = self._proxy.shutdown = Shutdown(started_at, self._cfg.grace_s)
        if self._owners is not None:
            self._owners.stop(shutdown)
        while loop.time() < shutdown.ends_at:
            self._callers.drain()
            if loop.time() - started_at > _BALANCER_DELAY_S:
                self._callers.stop_listening()
                owners_busy = self._owners is not None and self._owners.busy
                if not self._callers.connections and not owners_busy:
                    break
            await asyncio.sleep(_DRAIN_POLL_S)
        callers, ended = len(self._callers.connections), self._callers.end_statements()
        batches = self._owners.end_batches() if self._owners is not None else 0
        self._log.write("stopped", callers=callers, ended=ended, batches=batches)
        # Lets the last answers be written, and the transports flush them.
        await asyncio.sleep(_DRAIN_POLL_S)
        self._callers.close()
        await asyncio.sleep(_DRAIN_POLL_S)

    def _collect_gauges(
        self,
    ) -> t.Iterator[tuple[str, tuple[tuple[str, str], ...], float]]:
        yield "callers", (), len(self._callers.connections)
        for purpose, calls in self._store.calls.items():
            yield "store_calls", (("purpose", purpose),), calls
        yield "store_unreachable_seconds", (), self._mirrors[0].unreachable_s()
        for mirror in self._mirrors:
            kind = (("kind", mirror.kind),)
            yield "store_mirror_age_seconds", kind, mirror.age_s()
        yield "isolated", (), self._isolated
        yield "store_era", (), self._era.current or 0

    def _readiness(self) -> tuple[int, bytes]:
        ready = self._proxy.ready and not self._stopping.is_set()
        return (200 if ready and not self._isolated else 503), b""

    async def _watch_isolation(self) -> None:
        while True:
            await asyncio.sleep(_ISOLATION_POLL_S)
            if self._stopping.is_set():
                continue
            directory = self._proxy.directory
            without_primary_s, unresponsive_s = (
                directory.without_primary_s(),
                directory.unresponsive_s(),
            )
            suspected_s = max(without_primary_s, unresponsive_s)
            isolated = (
                suspected_s > _ISOLATION_AFTER_S
                and not await self._is_store_reachable()
            )
            if suspected_s > _ISOLATION_AFTER_S and not isolated:
                await asyncio.sleep(_STORE_PROBE_PERIOD_S)
            if isolated and self._isolated_for_s() > _BALANCER_DELAY_S:
                # The isolation may last; by now the balancer routes callers elsewhere.
                self._proxy.directory.set_cut_off(True)
                self._callers.send_shutdown_notices()
            if isolated != self._isolated:
                self._set_isolated(isolated, without_primary_s, unresponsive_s)

    def _set_isolated(
        self, isolated: bool, without_primary_s: float, unresponsive_s: float
    ) -> None:
        self._isolated = self._callers.isolated = isolated
        self._isolated_at = asyncio.get_running_loop().time()
        if not isolated:
            self._proxy.directory.set_cut_off(False)
        self._log.write(
            "isolated" if isolated else "no_longer_isolated",
            without_primary_s=round(without_primary_s, 2),
            target_silent_s=round(unresponsive_s, 2),
        )

    async def _is_store_reachable(self) -> bool:
        if not all(mirror.reachable for mirror in self._mirrors):
            # The mirrors retry until the store answers.
            return False
        try:
            async with asyncio.timeout(_STORE_PROBE_S):
                await self._store.ping()
        except (StoreUnavailable, TimeoutError):
            return False
        except StoreError:
            return True
        return True

    def _isolated_for_s(self) -> float:
        if not self._isolated:
            return 0.0
        return asyncio.get_running_loop().time() - self._isolated_at

    def _adopt_configs(self, objects: tuple[StoredObject, ...]) -> None:
        for stored in objects:
            if stored.name != documents.CONFIG_NAME or stored.spec is None:
                continue
            try:
                config = documents.decode_config(stored.spec)
            except documents.UnreadableDocument as exc:
                # The version in force stays.
                self._report_unreadable("config_unreadable", "config", stored, exc)
                continue
            self._proxy.adopt_config(config)
            self._update_owners()
            if self._proxy.requires_keys:
                self._callers.close_revoked()

    def _replace_targets(self, objects: tuple[StoredObject, ...]) -> None:
        infos = (self._decode_target(stored) for stored in objects)
        self._proxy.directory.replace([info for info in infos if info is not None])
        self._update_owners()
        self._proxy.check_ready()

    async def _add_missing_targets(self, group: Group) -> None:
        """Add targets that the mirror has not reported; raise StoreError."""
        listing = await self._store.list(documents.TARGETS_KIND)
        infos = (self._decode_target(stored) for stored in listing.objects)
        known = [info for info in infos if info is not None]
        self._proxy.directory.add_missing(group.service, known)

    def _apply_target_change(self, change: Change) -> None:
        info = None if change.removed else self._decode_target(change.object)
        if info is not None:
            self._proxy.directory.put(info)
        else:
            # As in a list, an entry that cannot be read names no target.
            self._proxy.directory.remove(change.object.name)

    def _decode_target(self, stored: StoredObject) -> TargetInfo | None:
        try:
            return documents.decode_target(stored.name, stored.spec)
        except documents.UnreadableDocument as exc:
            self._report_unreadable("target_unreadable", "target", stored, exc)
            return None

    def _report_unreadable(
        self, event: str, kind: str, stored: StoredObject, exc: ValueError
    ) -> None:
        self._unreadable.report(event, kind, stored.name, stored.revision, str(exc))

    def _on_proxies_listed(self, entries: dict[str, t.Any]) -> None:
        self._proxy.set_proxy_count(max(1, len(entries)))
        peers = (self._decode_peer(vm, spec) for vm, spec in entries.items())
        self._listed_peers = [peer for peer in peers if peer is not None]
        self._peers.set_peers(self._listed_peers)
        self._update_owners()
        self._proxies_listed.set()

    def _decode_peer(self, vm: str, spec: t.Any) -> Peer | None:
        try:
            return Peer.decode(vm, spec)
        except ValueError as exc:
            self._unreadable.report("proxy_unreadable", "proxy", vm, 0, str(exc))
            return None

    def _reload(self) -> None:
        self._settings_mtime = _modification_time(self._path)
        try:
            cfg = load_settings(self._path)
        except SettingsError as exc:
            self._log.write("settings_rejected", reason=str(exc))
            return
        changed = [
            name
            for name in cfg.__slots__
            if getattr(cfg, name) != getattr(self._cfg, name)
        ]
        self._log.write("settings_read", changed=changed)
        self._cfg = cfg

    async def _poll_settings(self) -> None:
        while True:
            await asyncio.sleep(_SETTINGS_POLL_S)
            if _modification_time(self._path) != self._settings_mtime:
                self._reload()


def _modification_time(path: str) -> float:
    try:
        return os.stat(path).st_mtime
    except OSError:
        return 0.0


async def _run(cfg: VmSettings, path: str) -> None:
    await Entry(cfg, path, EventLog(cfg.vm)).run()


def main() -> None:
    """Serve callers until SIGTERM; SIGHUP reloads the settings.

    The only argument is the path of the settings file; by default it is taken from
    ROSEMARYRIDGE_SETTINGS, or else /etc/rosemaryridge/settings.json is read.
    """
    path = sys.argv[1] if len(sys.argv) > 1 else settings_path()
    try:
        cfg = load_settings(path)
    except SettingsError as exc:
        print(f"rosemaryridge-entry: {exc}", file=sys.stderr)
        sys.exit(_EXIT_BAD_SETTINGS)
    uvloop.run(_run(cfg, path))


if __name__ == "__main__":
    main()
