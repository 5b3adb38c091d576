"""Run a group of model targets with its watchers and check their invariants."""

import dataclasses
import random

from rosemaryridge.config import GroupSettings
from rosemaryridge.group import _events as ev
from rosemaryridge.model import Role
from rosemaryridge.timer import ManualTimer
from rosemaryridge_testbed.experiments._network import Latency
from rosemaryridge_testbed.experiments._network import Network
from rosemaryridge_testbed.experiments._proxy import ModelProxy
from rosemaryridge_testbed.experiments._target import ModelTarget

TARGETS = ("a", "b", "c")
PROXIES = ("p0", "p1", "p2")
_DOMAINS = ("north", "east", "west")


@dataclasses.dataclass(frozen=True, slots=True)
class Commit:
    """Record when a write was committed and in which term."""

    at: float
    term: int


class History:
    """Record commits, acknowledgements and takeovers with their times."""

    def __init__(self, timer: ManualTimer):
        self.commits: dict[str, Commit] = {}
        self.acks: dict[str, float] = {}
        self.takeovers: list[tuple[float, ev.AnnounceTakeover]] = []
        self._timer = timer

    def record_commit(self, value: str, term: int) -> None:
        """Record a commit on a target."""
        self.commits[value] = Commit(self._timer.now(), term)

    def record_acknowledgement(self, value: str, term: int) -> None:
        """Record a write acknowledged to a caller."""
        self.acks[value] = self._timer.now()

    def record_takeover(self, effect: ev.AnnounceTakeover) -> None:
        """Record the start of a takeover."""
        self.takeovers.append((self._timer.now(), effect))


class Cluster:
    """Run three targets and three watchers, one of each per failure domain."""

    def __init__(
        self,
        seed: int,
        latency: Latency | None = None,
        cfg: GroupSettings | None = None,
        acknowledge_early: bool = False,
        skip_fencing: bool = False,
        proxy_type: type[ModelProxy] = ModelProxy,
    ):
        self.rng = random.Random(seed)
        self.cfg = cfg or GroupSettings()
        self.timer = ManualTimer()
        self.network = Network(self.timer, self.rng, latency or Latency())
        self.history = History(self.timer)
        self.primaries_by_term: dict[int, set[str]] = {}
        self.promoted_at: dict[int, float] = {}
        self.targets: dict[str, ModelTarget] = {}
        self.proxies: dict[str, ModelProxy] = {}
        self.writes = 0
        nodes = zip(TARGETS + PROXIES, _DOMAINS * 2, strict=True)
        self.network.failure_domains.update(nodes)
        self._add_targets()
        self._proxy_args = (proxy_type, acknowledge_early, skip_fencing)
        for vm in PROXIES:
            self._add_proxy(vm)

    def _add_proxy(self, vm: str) -> None:
        proxy_type, acknowledge_early, skip_fencing = self._proxy_args
        rng = random.Random(self.rng.getrandbits(32))
        proxy = proxy_type(self, vm, rng, acknowledge_early, skip_fencing)
        self.proxies[vm] = proxy
        proxy.handle_event(ev.RankChanged(PROXIES.index(vm), len(PROXIES)))

    def start(self, node: str) -> None:
        """Restart a dead node: a target with its log, a proxy without state."""
        if node not in self.network.dead:
            return
        self.network.dead.discard(node)
        if node in self.proxies:
            self.proxies[node].stop()
            self._add_proxy(node)

    def _add_targets(self) -> None:
        for name in TARGETS:
            self.targets[name] = ModelTarget(name, self.network, self.targets)
            self.targets[name].upstream = "a"
        self.targets["a"].role = Role.PRIMARY

    def run(self, duration_s: float, write_every_s: float = 0.05) -> None:
        """Advance time by `duration_s` while every proxy writes."""
        end = self.timer.now() + duration_s
        while self.timer.now() < end:
            for proxy in self.proxies.values():
                self.writes += 1
                proxy.write(f"w{self.writes}")
            self.timer.advance(write_every_s)
            self._record_primaries()

    def _record_primaries(self) -> None:
        for name, target in self.targets.items():
            if target.role is Role.PRIMARY:
                self.primaries_by_term.setdefault(target.term, set()).add(name)
                self.promoted_at.setdefault(target.term, self.timer.now())

    def primary(self) -> ModelTarget | None:
        """Return the writable target of the highest term, or None."""
        primaries = [target for target in self.targets.values() if target.writable]
        return max(primaries, key=lambda target: target.term, default=None)

    def gap_s(self, fault_at: float) -> float:
        """Return seconds from a fault to the first acknowledgement of a later commit.

        Infinity if there is none.
        """
        times = [
            at
            for value, at in self.history.acks.items()
            if self.history.commits[value].at > fault_at
        ]
        return min(times, default=float("inf")) - fault_at

    def violations(self) -> tuple[str, ...]:
        """Return a text for each violated guarantee; call with the network healed."""
        violations = [
            f"term {term} has primaries {sorted(names)}"
            for term, names in self.primaries_by_term.items()
            if len(names) > 1
        ]
        primary = self.primary()
        logged = {entry.value for entry in primary.log} if primary else set()
        lost = [value for value in self.history.acks if value not in logged]
        violations += [
            f"{value} was acknowledged but is not in the primary's log"
            for value in lost
        ]
        return tuple(violations + self._commits_in_replaced_terms())

    def _commits_in_replaced_terms(self) -> list[str]:
        violations = []
        for value in self.history.acks:
            commit = self.history.commits[value]
            later = [at for term, at in self.promoted_at.items() if term > commit.term]
            if any(at < commit.at for at in later):
                violations.append(
                    f"{value} was committed in term {commit.term}, which was replaced"
                )
        return violations
