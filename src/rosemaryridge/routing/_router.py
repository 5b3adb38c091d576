"""Select the target that serves a request."""

import dataclasses
import random
import typing as t

from rosemaryridge import codes
from rosemaryridge.codes import Code
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.core import PrimaryHistory
from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import target_key
from rosemaryridge.routing._health import TargetHealth
from rosemaryridge.routing._policies import find_policy
from rosemaryridge.routing._view import GroupView
from rosemaryridge.routing._view import TargetRequirement
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import TimerService

DEFAULT_POLICY = "power_of_two"
_STATUS_MAX_AGE_S = 10.0
_RETRY_AFTER_S = 0.2
_MAX_EJECTED_RATIO = 0.5
_EXPLORATION_RATE = 0.005
_PROBE_RATE = 0.1
_INITIAL_REMOTE_LATENCY_S = 0.01


class Router:
    """Select targets: sufficiently fresh replicas first, then the primary.

    `is_draining` returns whether the target with a key is draining: it then gets no new
    requests.
    """

    def __init__(
        self,
        timer: TimerService,
        rng: random.Random,
        metrics: Metrics,
        is_draining: t.Callable[[str], bool] = lambda target: False,
        failure_domain: str = "",
        policy: str = DEFAULT_POLICY,
    ):
        self._timer = timer
        self._rng = rng
        self._metrics = metrics
        self._is_draining = is_draining
        self._failure_domain = failure_domain
        self._policy = find_policy(policy)
        self._health: dict[str, TargetHealth] = {}
        self._histories: dict[str, tuple[int, str | None, PrimaryHistory]] = {}

    def choose(
        self,
        service: ServiceConfig,
        view: GroupView,
        requirement: TargetRequirement,
        now: float,
    ) -> str:
        """Return the name of the selected target; raise Refusal if there is none."""
        self._observe(service.name, view)
        if requirement.write:
            return self._primary(service, view, requirement)
        replicas = self._eligible_replicas(service, view, requirement, now)
        usable = [
            replica
            for replica in replicas
            if not self.health(service.name, replica.name).is_open(now)
        ]
        if len(usable) >= len(replicas) * (1.0 - _MAX_EJECTED_RATIO) and usable:
            return self._select(service.name, usable, now)
        if self._primary_serves_reads(service, view, requirement, now):
            return t.cast(str, view.primary)
        if replicas:
            return self._select(service.name, replicas, now)
        raise self._refusal(codes.limits.NO_TARGET, service)

    def has_replica(
        self,
        service: ServiceConfig,
        view: GroupView,
        requirement: TargetRequirement,
        now: float,
    ) -> bool:
        """Return whether a replica meets the requirements of a read."""
        self._observe(service.name, view)
        return bool(self._eligible_replicas(service, view, requirement, now))

    def replica_expected(
        self,
        service: ServiceConfig,
        view: GroupView,
        requirement: TargetRequirement,
        wait_s: float,
        now: float,
    ) -> bool:
        """Return whether a replica will become eligible within `wait_s` seconds.

        The result is False if a replica is eligible already, or without a primary. A
        replica is expected only if its lag is at most `wait_s`.
        """
        self._observe(service.name, view)
        if view.primary is None or self._eligible_replicas(
            service, view, requirement, now
        ):
            return False
        caught_up = dataclasses.replace(requirement, position=ORIGIN, max_age_s=None)
        replicas = self._eligible_replicas(service, view, caught_up, now)
        history = self._histories[service.name][2]
        lags = (
            history.lag_s(seen.status.applied, seen.seen_at)
            for seen in (view.statuses[replica.name] for replica in replicas)
        )
        return any(lag_s <= wait_s for lag_s in lags)

    def started(self, service: str, target: str) -> None:
        """Record that a request was sent to a target."""
        self.health(service, target).started(self._timer.now())

    def finished(self, service: str, target: str, latency_s: float, ok: bool) -> None:
        """Record a request's latency in seconds and whether the target answered it."""
        self.health(service, target).finished(latency_s, ok, self._timer.now())

    def failed(self, service: str, target: str) -> None:
        """Record that a target was unreachable."""
        self.started(service, target)
        self.finished(service, target, 0.0, ok=False)

    def health(self, service: str, target: str) -> TargetHealth:
        """Return the health record of a target."""
        key = target_key(service, target)
        health = self._health.get(key)
        if health is None:
            health = self._health[key] = TargetHealth(self._rng)
        return health

    def age_s(self, service: str, applied: Position, now: float) -> float:
        """Return the maximum age in s of data at a position, infinity if unknown."""
        entry = self._histories.get(service)
        return entry[2].age_s(applied, now) if entry else float("inf")

    def _observe(self, service: str, view: GroupView) -> None:
        entry = self._histories.get(service)
        if entry is None or entry[:2] != (view.term, view.primary):
            entry = (view.term, view.primary, PrimaryHistory())
            self._histories[service] = entry
        seen = view.statuses.get(view.primary) if view.primary else None
        if seen is not None and seen.status.term == view.term:
            entry[2].observe(seen.status.received, seen.seen_at)

    def _primary(
        self, service: ServiceConfig, view: GroupView, requirement: TargetRequirement
    ) -> str:
        primary = view.primary
        if primary is None or primary in requirement.exclude:
            raise self._refusal(codes.group.NO_PRIMARY, service)
        return primary

    def _eligible_replicas(
        self,
        service: ServiceConfig,
        view: GroupView,
        requirement: TargetRequirement,
        now: float,
    ) -> list[TargetConfig]:
        replicas = []
        for target in service.targets:
            name = target.name
            if name not in view.statuses or name == view.primary:
                continue
            if name in requirement.exclude:
                continue
            if self._is_eligible(service.name, name, view, requirement, now):
                replicas.append(target)
        return replicas

    def _is_eligible(
        self,
        service: str,
        name: str,
        view: GroupView,
        requirement: TargetRequirement,
        now: float,
    ) -> bool:
        seen = view.statuses[name]
        status = seen.status
        if status.leaving or self._is_draining(target_key(service, name)):
            return False
        if status.role is not Role.REPLICA or status.term != view.term:
            return False
        if (
            now - seen.seen_at > _STATUS_MAX_AGE_S
            or status.applied < requirement.position
        ):
            return False
        if requirement.max_age_s is None:
            return True
        return self.age_s(service, status.applied, now) <= requirement.max_age_s

    def _select(self, service: str, targets: list[TargetConfig], now: float) -> str:
        if len(targets) == 1:
            return targets[0].name
        drawn = self._rng.random()
        if drawn < _EXPLORATION_RATE:
            return self._rng.choice(targets).name
        due = [
            target
            for target in targets
            if self.health(service, target.name).is_due_for_probe(now)
        ]
        if due and drawn < _PROBE_RATE:
            return due[0].name
        pairs = [
            (target.name, self._health_by_locality(service, target))
            for target in targets
        ]
        return self._policy(pairs, self._rng, now)

    def _health_by_locality(self, service: str, target: TargetConfig) -> TargetHealth:
        health = self.health(service, target.name)
        if health.samples == 0 and target.failure_domain != self._failure_domain:
            health.latency_s = max(health.latency_s, _INITIAL_REMOTE_LATENCY_S)
        return health

    def _primary_serves_reads(
        self,
        service: ServiceConfig,
        view: GroupView,
        requirement: TargetRequirement,
        now: float,
    ) -> bool:
        name = view.primary
        if name is None or name in requirement.exclude:
            return False
        if self.health(service.name, name).is_open(now):
            return False
        draining = self._is_draining(target_key(service.name, name))
        return not draining or len(service.targets) == 1

    def _refusal(self, code: Code, service: ServiceConfig) -> Refusal:
        self._metrics.refuse(code, service.name)
        retry_after_s = _RETRY_AFTER_S * (1.0 + self._rng.random())
        return Refusal(code, f"service {service.name}", retry_after_s)
