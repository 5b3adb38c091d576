"""Choose the target that serves a request."""

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
from rosemaryridge.routing._view import Need
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import TimerService

DEFAULT_POLICY = "power_of_two"
_STATUS_MAX_AGE_S = 10.0
_RETRY_AFTER_S = 0.2
_MAX_EJECTED_SHARE = 0.5
_EXPLORED_SHARE = 0.005
_TESTED_SHARE = 0.1
_FIRST_REMOTE_LATENCY_S = 0.01


class Router:
    """Choose targets: replicas that are fresh enough, then the primary.

    `leaving` says of a target's key whether it must get no new work.
    """

    def __init__(
        self,
        timer: TimerService,
        rng: random.Random,
        metrics: Metrics,
        leaving: t.Callable[[str], bool] = lambda target: False,
        failure_domain: str = "",
        policy: str = DEFAULT_POLICY,
    ):
        self._timer = timer
        self._rng = rng
        self._metrics = metrics
        self._leaving = leaving
        self._failure_domain = failure_domain
        self._policy = find_policy(policy)
        self._health: dict[str, TargetHealth] = {}
        self._history: dict[str, tuple[int, str | None, PrimaryHistory]] = {}

    def choose(
        self, service: ServiceConfig, view: GroupView, need: Need, now: float
    ) -> str:
        """Return the target's name; raise Refusal."""
        self._observe(service.name, view)
        if need.write:
            return self._primary(service, view, need)
        replicas = self._replicas(service, view, need, now)
        usable = [
            one
            for one in replicas
            if not self.health(service.name, one.name).is_open(now)
        ]
        if len(usable) >= len(replicas) * (1.0 - _MAX_EJECTED_SHARE) and usable:
            return self._pick(service.name, usable, now)
        if self._may_serve_reads(service, view, need, now):
            return t.cast(str, view.primary)
        if replicas:
            return self._pick(service.name, replicas, now)
        raise self._refusal(codes.limits.NO_TARGET, service)

    def replica_expected(
        self,
        service: ServiceConfig,
        view: GroupView,
        need: Need,
        wait_s: float,
        now: float,
    ) -> bool:
        """Return whether only the primary fits, but a replica will within a wait.

        A replica whose lag exceeds the wait in seconds is not expected.
        """
        self._observe(service.name, view)
        if view.primary is None or self._replicas(service, view, need, now):
            return False
        caught_up = dataclasses.replace(need, position=ORIGIN, max_age_s=None)
        replicas = self._replicas(service, view, caught_up, now)
        history = self._history[service.name][2]
        lags = (
            history.lag_s(seen.status.applied, seen.seen_at)
            for seen in (view.statuses[one.name] for one in replicas)
        )
        return any(lag_s <= wait_s for lag_s in lags)

    def started(self, service: str, target: str) -> None:
        """Count a request sent to a target."""
        self.health(service, target).started(self._timer.now())

    def finished(self, service: str, target: str, latency_s: float, ok: bool) -> None:
        """Take in how long a request took and whether the target answered it."""
        self.health(service, target).finished(latency_s, ok, self._timer.now())

    def failed(self, service: str, target: str) -> None:
        """Take in that a target could not be reached."""
        self.started(service, target)
        self.finished(service, target, 0.0, ok=False)

    def health(self, service: str, target: str) -> TargetHealth:
        """Return the evidence about a target."""
        key = target_key(service, target)
        found = self._health.get(key)
        if found is None:
            found = self._health[key] = TargetHealth(self._rng)
        return found

    def age_s(self, service: str, applied: Position, now: float) -> float:
        """Return the greatest age of data at a position of a service, in seconds."""
        known = self._history.get(service)
        return known[2].age_s(applied, now) if known else float("inf")

    def _observe(self, service: str, view: GroupView) -> None:
        known = self._history.get(service)
        if known is None or known[:2] != (view.term, view.primary):
            known = (view.term, view.primary, PrimaryHistory())
            self._history[service] = known
        seen = view.statuses.get(view.primary) if view.primary else None
        if seen is not None and seen.status.term == view.term:
            known[2].observe(seen.status.received, seen.seen_at)

    def _primary(self, service: ServiceConfig, view: GroupView, need: Need) -> str:
        primary = view.primary
        if primary is None or primary in need.exclude:
            raise self._refusal(codes.group.NO_PRIMARY, service)
        return primary

    def _replicas(
        self, service: ServiceConfig, view: GroupView, need: Need, now: float
    ) -> list[TargetConfig]:
        found = []
        for target in service.targets:
            name = target.name
            if name not in view.statuses or name == view.primary:
                continue
            if name in need.exclude:
                continue
            if self._is_fresh(service.name, name, view, need, now):
                found.append(target)
        return found

    def _is_fresh(
        self,
        service: str,
        name: str,
        view: GroupView,
        need: Need,
        now: float,
    ) -> bool:
        seen = view.statuses[name]
        status = seen.status
        if status.leaving or self._leaving(target_key(service, name)):
            return False
        if status.role is not Role.REPLICA or status.term != view.term:
            return False
        if now - seen.seen_at > _STATUS_MAX_AGE_S or status.applied < need.position:
            return False
        if need.max_age_s is None:
            return True
        return self.age_s(service, status.applied, now) <= need.max_age_s

    def _pick(self, service: str, targets: list[TargetConfig], now: float) -> str:
        if len(targets) == 1:
            return targets[0].name
        drawn = self._rng.random()
        if drawn < _EXPLORED_SHARE:
            return self._rng.choice(targets).name
        due = [one for one in targets if self.health(service, one.name).is_due(now)]
        if due and drawn < _TESTED_SHARE:
            return due[0].name
        pairs = [(one.name, self._local_health(service, one)) for one in targets]
        return self._policy(pairs, self._rng, now)

    def _local_health(self, service: str, target: TargetConfig) -> TargetHealth:
        health = self.health(service, target.name)
        if health.samples == 0 and target.failure_domain != self._failure_domain:
            health.latency_s = max(health.latency_s, _FIRST_REMOTE_LATENCY_S)
        return health

    def _may_serve_reads(
        self, service: ServiceConfig, view: GroupView, need: Need, now: float
    ) -> bool:
        name = view.primary
        if name is None or name in need.exclude:
            return False
        if self.health(service.name, name).is_open(now):
            return False
        leaving = self._leaving(target_key(service.name, name))
        return not leaving or len(service.targets) == 1

    def _refusal(self, code: Code, service: ServiceConfig) -> Refusal:
        self._metrics.refuse(code, service.name)
        retry_after_s = _RETRY_AFTER_S * (1.0 + self._rng.random())
        return Refusal(code, f"service {service.name}", retry_after_s)
