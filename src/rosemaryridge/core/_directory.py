"""Maintain the groups and their targets from the store's entries."""

import asyncio
import random
import typing as t

from rosemaryridge.core._config import FleetConfig
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._group import Group
from rosemaryridge.core._pool import Pool
from rosemaryridge.core._shares import Shares
from rosemaryridge.core._target import Target
from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.core.commands import Connect
from rosemaryridge.core.commands import ConnectFailed
from rosemaryridge.core.store import ClaimCache

# A live target whose entry expired during an outage of the store registers again
# within 2 s of the store's return.
_REMOVAL_GRACE_S = 2.5
# Outdated registrations expire from a restored store within three heartbeats.
_OUTDATED_S = 30.0
# A request must reach a draining target within its time: it may wait for a connection
# or at an owner, and travels for 40 ms.
_DRAIN_MARGIN_S = 0.5
# The time for which a target takes work if this proxy cannot tell when it was reported
# to be draining: it has just started, or was cut off from the store.
_UNKNOWN_DRAIN_S = 3.0
_MAX_REPORT_AGE_S = 5.0
# Limit on the removed targets whose last registration is kept.
_MAX_REMOVED = 256
# Connections to a target until the connection limit of its service is known.
_DEFAULT_LIMIT = 1
# Commits count as held by a replica until the configuration tells otherwise.
_DEFAULT_SYNC_REPLICAS = 1
# Links to the owner of a target, which hold no connection while they are idle.
_MAX_OWNED_LINKS = 256


class Directory:
    """Hold all groups and their targets, as registered in the store."""

    def __init__(
        self,
        connect: Connect,
        log: EventLog,
        on_suspect: t.Callable[[Group], None],
        shares: Shares,
        rng: random.Random,
    ):
        self.groups: dict[str, Group] = {}
        self.is_loaded = False
        # Requests a group's position from a position relay; set once peers are known.
        self.request_position: t.Callable[[Group], t.Awaitable[bool]] | None = None
        # Proves who leads a group, where a deposed primary may go on, and that commits
        # of synchronous replicas are kept.
        self.claims: ClaimCache | None = None
        self.deposed_go_on = False
        # Time for which draining targets take new work.
        self.drain_s = float("inf")
        # Returns how long ago the change that is being applied was made at the most.
        self.report_age_s: t.Callable[[], float] = lambda: 0.0
        self._connect = connect
        self._log = log
        self._on_suspect = on_suspect
        self._shares = shares
        self._rng = rng
        self._limits: t.Mapping[str, int] = {}
        # None until a configuration is known.
        self._sync_replicas: t.Mapping[str, int] | None = None
        # Returns whether a target is reached through its owner; set where proxies may
        # be many for the connections of a target.
        self.is_owned: t.Callable[[TargetInfo], bool] = lambda info: False
        # The last registration of targets that were removed, the oldest first.
        self._removed: dict[tuple[str, str], TargetInfo] = {}
        # Loop time at which the store was last seen to be restored from a copy.
        self._restored_at = float("-inf")
        self._loop = asyncio.get_running_loop()

    def group(self, service: str) -> Group:
        """Return a service's group; create an empty one if no target is known."""
        found = self.groups.get(service)
        if found is None:
            found = Group(service, self._log, self._on_suspect)
            found.request_position = self.request_position
            found.sync_replicas = self._sync_replicas_of(service)
            if self.claims is not None:
                found.require_proof(self.claims, self.deposed_go_on)
            self.groups[service] = found
        return found

    def without_primary_s(self) -> float:
        """Return the longest time that a group has had no primary, in seconds."""
        return max(
            (group.without_primary_s() for group in self.groups.values()), default=0.0
        )

    def unresponsive_s(self) -> float:
        """Return the longest time that a target has been unresponsive, in seconds.

        Targets that refused a connection do not count: their machine is reachable.
        """
        now = self._loop.time()
        return max(
            (
                now - target.unresponsive_since
                for group in self.groups.values()
                for target in group.targets.values()
                if target.unresponsive_since is not None and target.refused_at is None
            ),
            default=0.0,
        )

    def set_cut_off(self, cut_off: bool) -> None:
        """Set whether this proxy is cut off from the store and the primaries."""
        for group in self.groups.values():
            group.set_cut_off(cut_off)

    def adopt_services(self, config: FleetConfig) -> None:
        """Apply what a configuration says of the services."""
        known, self._limits = self._limits, config.connection_limits
        self._sync_replicas = config.sync_replicas
        for group in self.groups.values():
            group.sync_replicas = self._sync_replicas_of(group.service)
        self.resize_pools()
        for group in self.groups.values():
            if group.service not in known:
                for target in group.targets.values():
                    self._warm(target)

    def _sync_replicas_of(self, service: str) -> int:
        if self._sync_replicas is None:
            return _DEFAULT_SYNC_REPLICAS
        return self._sync_replicas.get(service, 0)

    def resize_pools(self) -> None:
        """Resize the connection pools to this proxy's current share."""
        for group in self.groups.values():
            for target in group.targets.values():
                limit = self._connection_limit(target.info)
                was_owned = target.pool.limit == _MAX_OWNED_LINKS
                if was_owned != (limit == _MAX_OWNED_LINKS):
                    # Its connections make room for the owner's, or the reverse.
                    target.pool.replace_connections()
                target.pool.resize(limit)
                target.pool.idle_policy.scarce = self._is_scarce(group.service)

    def connections(self, service: str) -> int | None:
        """Return how many connections a target accepts, None if unknown."""
        return self._limits.get(service)

    def replace(self, infos: t.Iterable[TargetInfo]) -> None:
        """Apply a complete list of registered targets."""
        found = {(info.service, info.id): info for info in infos}
        for group in self.groups.values():
            for name in [n for n in group.targets if (group.service, n) not in found]:
                self.remove(name)
        for info in found.values():
            self.put(info)
        self.is_loaded = True

    def add_missing(self, service: str, infos: t.Iterable[TargetInfo]) -> None:
        """Add the targets of a service that are not known yet.

        The registrations of known ones may be older than those that are in force.
        """
        group = self.group(service)
        for info in infos:
            if info.service == service and info.id not in group.targets:
                self.put(info)

    def put(self, info: TargetInfo) -> None:
        """Add or update a target from its registration."""
        group = self.group(info.service)
        target = group.targets.get(info.id)
        if self._is_outdated(info, target):
            if target is not None:
                target.removed_at = None
            return
        if target is not None and not target.info.is_same_process(info):
            self._remove_now(
                group, target, "a new process registered under the same id"
            )
            target = None
        if target is None:
            target = self._add(group, info)
        elif target.info.draining != info.draining:
            self._log.write(
                "target_draining", service=info.service, target=info.id, by="store"
            )
        target.info = info
        target.pool.info = info
        target.removed_at = None
        if info.draining and not target.draining:
            target.drain_ends_at = self._drain_end()
        elif not info.draining:
            target.drain_ends_at = float("inf")
        target.draining = info.draining
        if info.claims_primary:
            group.record_primary_registration(target)
            if info.draining:
                group.suspect(target)

    def _drain_end(self) -> float:
        """Return the loop time from when a target that drains gets no new work."""
        age_s = self.report_age_s()
        if age_s <= _MAX_REPORT_AGE_S:
            left_s = self.drain_s - age_s - _DRAIN_MARGIN_S
        elif self.drain_s < float("inf"):
            left_s = min(self.drain_s - _DRAIN_MARGIN_S, _UNKNOWN_DRAIN_S)
        else:
            left_s = self.drain_s
        return self._loop.time() + max(0.0, left_s)

    def on_new_era(self, era: int) -> str:
        """Expect outdated registrations: the store has come back from a copy."""
        self._restored_at = self._loop.time()
        return ""

    def _is_outdated(self, info: TargetInfo, target: Target | None) -> bool:
        """Return whether a registration of a restored copy is older than the known one.

        The target may have been removed since the copy.
        """
        known = target.info if target else self._removed.get((info.service, info.id))
        if self._loop.time() > self._restored_at + _OUTDATED_S or known is None:
            return False
        if not info.is_older_than(known):
            return False
        self._log.write(
            "target_outdated",
            service=info.service,
            target=info.id,
            sequence=info.sequence,
            known=known.sequence,
            removed=target is None,
        )
        return True

    def remove(self, name: str) -> None:
        """Remove a target unless it registers again within a grace period."""
        for group in self.groups.values():
            target = group.targets.get(name)
            if target is not None and target.removed_at is None:
                target.removed_at = self._loop.time()
                self._loop.call_later(
                    _REMOVAL_GRACE_S, self._on_grace_over, group, target
                )

    def close(self) -> None:
        """Close the connections to every target."""
        for group in self.groups.values():
            for target in group.targets.values():
                target.pool.close()

    def _on_grace_over(self, group: Group, target: Target) -> None:
        if group.targets.get(target.id) is not target or target.removed_at is None:
            return
        if self._loop.time() - target.removed_at < _REMOVAL_GRACE_S - 0.01:
            return
        group.departed.add(target.id)
        self._remove_now(group, target, "its registration is gone from the store")

    def _remove_now(self, group: Group, target: Target, reason: str) -> None:
        self._log.write(
            "target_removed", service=group.service, target=target.id, reason=reason
        )
        del group.targets[target.id]
        self._removed[(group.service, target.id)] = target.info
        while len(self._removed) > _MAX_REMOVED:
            del self._removed[next(iter(self._removed))]
        target.pool.close()
        if group.primary == target.id:
            group.record_not_primary(target)

    def _add(self, group: Group, info: TargetInfo) -> Target:
        def on_opened() -> None:
            target.refused_at = None

        def on_failed(exc: ConnectFailed) -> None:
            self._on_connect_failed(group, target, exc)

        pool = Pool(
            info,
            self._connection_limit(info),
            self._connect,
            on_opened,
            on_failed,
            self._rng,
        )
        pool.on_left_open = lambda link: self._log.write(
            "transaction_left_open",
            service=group.service,
            target=info.id,
            state=link.state.name.lower(),
        )
        target = Target(info, pool)
        group.targets[info.id] = target
        group.departed.discard(info.id)
        self._log.write(
            "target_added",
            service=info.service,
            target=info.id,
            endpoint=info.endpoint,
            claims_primary=info.claims_primary,
        )
        pool.idle_policy.scarce = self._is_scarce(info.service)
        self._warm(target)
        return target

    def _warm(self, target: Target) -> None:
        """Open a connection in advance where there is room for all proxies.

        Until the limit is known there may be none: many proxies that start together
        would fill the targets with idle connections.
        """
        known = target.info.service in self._limits
        scarce = target.pool.idle_policy.scarce or self.is_owned(target.info)
        if known and not scarce:
            target.pool.warm()

    def _on_connect_failed(
        self, group: Group, target: Target, exc: ConnectFailed
    ) -> None:
        now = self._loop.time()
        if exc.withheld:
            # It tells nothing of the target.
            return
        if exc.full:
            target.record_response(now)
        elif exc.refused or exc.wrong_target:
            group.record_refused_connection(target)
        else:
            group.record_unresponsive(target)
        self._log.write(
            "connect_failed",
            service=group.service,
            target=target.id,
            reason=str(exc),
            open=target.pool.size,
        )

    def _is_scarce(self, service: str) -> bool:
        total = self._limits.get(service)
        return total is not None and self._shares.fewer_than_proxies(total)

    def _connection_limit(self, info: TargetInfo) -> int:
        """Return the limit of connections, or of links to the target's owner."""
        if self.is_owned(info):
            return _MAX_OWNED_LINKS
        return self.direct_limit(info.service)

    def direct_limit(self, service: str) -> int:
        """Return how many connections this proxy may open to a target of a service."""
        total = self._limits.get(service)
        return _DEFAULT_LIMIT if total is None else self._shares.limit_for(total)
