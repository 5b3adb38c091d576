"""Compare routing policies with one slow, lossy or refusing replica."""

import dataclasses
import random

from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.model import Endpoint
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus
from rosemaryridge.routing import Router
from rosemaryridge.routing import TargetRequirement
from rosemaryridge.routing import policy_names
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import ManualTimer
from rosemaryridge_testbed.experiments._registry import Row
from rosemaryridge_testbed.experiments._registry import experiment
from rosemaryridge_testbed.experiments._sim import Arrivals
from rosemaryridge_testbed.experiments._sim import SimTarget
from rosemaryridge_testbed.experiments._sim import TargetBehaviour
from rosemaryridge_testbed.experiments._sim import percentile

_REPLICAS = ("r1", "r2", "r3", "r4")
_PROXIES = 12
_LOAD = 0.5
_RUN_S = 10.0
_BUCKET_S = 0.1
_HEALTHY = TargetBehaviour()
_FAULTS = {
    "none": _HEALTHY,
    "slow": TargetBehaviour(slow_by=5.0),
    "lossy": TargetBehaviour(loss=0.3),
    "refusing": TargetBehaviour(refusal=0.7),
}


@dataclasses.dataclass(frozen=True, slots=True)
class _ObservedStatus:
    status: TargetStatus
    seen_at: float


@dataclasses.dataclass
class _GroupView:
    term: int
    primary: str | None
    statuses: dict[str, _ObservedStatus]


class _Fleet:
    def __init__(self, seed: int, policy: str, fault: str):
        self.timer = ManualTimer()
        self.rng = random.Random(seed)
        self.targets = {
            name: SimTarget(
                self.timer, self.rng, _FAULTS[fault] if name == "r1" else _HEALTHY
            )
            for name in _REPLICAS
        }
        self.routers = [
            Router(self.timer, random.Random(seed + number), Metrics(), policy=policy)
            for number in range(_PROXIES)
        ]
        self.service = _service()
        self.latencies_s: list[float] = []
        self.failed = 0
        self.sent: list[dict[str, int]] = []

    def run(self) -> None:
        capacity = len(_REPLICAS) * _HEALTHY.slots / _HEALTHY.service_s
        Arrivals(self.timer, self.rng, _LOAD * capacity, self._send_read)
        self.timer.every(_BUCKET_S, self._next_bucket)
        self._next_bucket()
        self.timer.advance(_RUN_S)

    def max_replica_share(self) -> float:
        """Return the largest share of reads that one replica gets per bucket.

        The value is the 99th percentile over all buckets but the first 20 and the last.
        """
        shares = []
        for bucket in self.sent[20:-1]:
            total = sum(bucket.values()) or 1
            shares.append(max(bucket.values()) / total)
        return percentile(shares, 0.99)

    def _next_bucket(self) -> None:
        self.sent.append(dict.fromkeys(_REPLICAS, 0))

    def _send_read(self) -> None:
        router, sent_at = self.rng.choice(self.routers), self.timer.now()
        name = router.choose(self.service, _view(sent_at), TargetRequirement(), sent_at)
        router.started(self.service.name, name)
        self.sent[-1][name] += 1

        def done(ok: bool) -> None:
            latency_s = self.timer.now() - sent_at
            router.finished(self.service.name, name, latency_s, ok)
            self.failed += not ok
            self.latencies_s.append(latency_s)

        self.targets[name].submit(done)


def _service() -> ServiceConfig:
    targets = tuple(
        TargetConfig(name, Endpoint("127.0.0.1", 1), "suva") for name in _REPLICAS
    )
    return ServiceConfig("exchange", 1, "exchange", targets)


def _view(now: float) -> _GroupView:
    at = Position(1, 1)
    statuses = {
        name: _ObservedStatus(TargetStatus(name, Role.REPLICA, 1, 1, at, at), now)
        for name in _REPLICAS
    }
    return _GroupView(1, None, statuses)


@experiment("routing")
def run(seed: int) -> list[Row]:
    """Compare every policy under every fault of one of four replicas."""
    rows = []
    for fault in _FAULTS:
        for policy in policy_names():
            fleet = _Fleet(seed, policy, fault)
            fleet.run()
            total = len(fleet.latencies_s)
            rows.append(
                {
                    "fault": fault,
                    "policy": policy,
                    "p50 ms": round(1000 * percentile(fleet.latencies_s, 0.5), 2),
                    "p99 ms": round(1000 * percentile(fleet.latencies_s, 0.99), 2),
                    "failed": round(fleet.failed / total, 4),
                    "largest part": round(fleet.max_replica_share(), 3),
                }
            )
    return rows
