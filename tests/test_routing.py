import dataclasses
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from rosemaryridge import codes
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.core import PrimaryHistory
from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Endpoint
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus
from rosemaryridge.routing import Router
from rosemaryridge.routing import TargetRequirement
from rosemaryridge.routing import policy_names
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import ManualTimer

SERVICE = ServiceConfig(
    "vialbook",
    1,
    "vialbook",
    tuple(
        TargetConfig(name, Endpoint("127.0.0.1", 1), domain)
        for name, domain in (("p", "khomas-a"), ("r1", "oshana-a"), ("r2", "erongo-a"))
    ),
)


@dataclasses.dataclass
class StubObservedStatus:
    status: TargetStatus
    seen_at: float


@dataclasses.dataclass
class StubGroupView:
    term: int
    primary: str | None
    statuses: dict


def make_status(name, lsn, term=2, leaving=False, role=Role.REPLICA):
    position = Position(term, lsn)
    return TargetStatus(name, role, term, term, position, position, leaving=leaving)


def make_view(p=100, r1=100, r2=100, seen_at=0.0):
    primary = make_status("p", p, role=Role.PRIMARY)
    statuses = {"p": primary, "r1": make_status("r1", r1), "r2": make_status("r2", r2)}
    return StubGroupView(
        2,
        "p",
        {name: StubObservedStatus(seen, seen_at) for name, seen in statuses.items()},
    )


class RouterTest(unittest.TestCase):
    def setUp(self):
        self.timer = ManualTimer()
        self.draining = set()
        self.router = Router(
            self.timer, random.Random(1), Metrics(), self.draining.__contains__
        )

    def chosen(self, seen, need, now=0.1, times=60):
        return {self.router.choose(SERVICE, seen, need, now) for _ in range(times)}

    def test_writes_go_to_the_primary(self):
        self.assertEqual(self.chosen(make_view(), TargetRequirement(write=True)), {"p"})
        without_primary = make_view()
        without_primary.primary = None
        with self.assertRaises(Refusal) as caught:
            self.router.choose(
                SERVICE, without_primary, TargetRequirement(write=True), 0.0
            )
        self.assertEqual(caught.exception.code, codes.group.NO_PRIMARY)
        self.assertIsNotNone(caught.exception.retry_after_s)

    def test_reads_go_to_replicas_that_cover_the_position(self):
        need = TargetRequirement(position=Position(2, 90))
        self.assertEqual(self.chosen(make_view(), need), {"r1", "r2"})
        self.assertEqual(self.chosen(make_view(r1=80), need), {"r2"})
        self.assertEqual(self.chosen(make_view(r1=80, r2=80), need), {"p"})

    def test_replica_of_an_older_term_is_not_chosen(self):
        seen = make_view()
        seen.statuses["r1"] = StubObservedStatus(make_status("r1", 500, term=1), 0.0)
        self.assertEqual(self.chosen(seen, TargetRequirement()), {"r2"})

    def test_replicas_older_than_max_age_are_not_chosen(self):
        for step in range(20):
            seen = make_view(p=100 + step, r1=100, r2=100 + step, seen_at=float(step))
            self.router.choose(SERVICE, seen, TargetRequirement(), float(step))
        self.assertEqual(
            self.chosen(seen, TargetRequirement(max_age_s=5.0), 19.5), {"r2"}
        )
        self.assertEqual(
            self.chosen(seen, TargetRequirement(max_age_s=30.0), 19.5), {"r1", "r2"}
        )
        self.assertEqual(
            self.chosen(seen, TargetRequirement(max_age_s=0.1), 19.5), {"p"}
        )

    def test_draining_targets_get_no_reads(self):
        seen = make_view()
        seen.statuses["r1"] = StubObservedStatus(
            make_status("r1", 100, leaving=True), 0.0
        )
        self.assertEqual(self.chosen(seen, TargetRequirement()), {"r2"})
        self.draining.add("vialbook/r2")
        self.assertEqual(self.chosen(seen, TargetRequirement()), {"p"})

    def test_targets_of_the_same_name_are_tracked_per_service(self):
        self.draining.add("other/r2")
        for _ in range(5):
            self.router.finished("other", "r1", 0.01, ok=False)
        self.assertEqual(self.chosen(make_view(), TargetRequirement()), {"r1", "r2"})

    def test_failing_target_is_avoided_then_probed_by_a_single_request(self):
        for _ in range(5):
            self.router.started(SERVICE.name, "r1")
            self.router.finished(SERVICE.name, "r1", 0.01, ok=False)
        self.assertEqual(self.chosen(make_view(), TargetRequirement()), {"r2"})
        self.timer.advance(1.0)
        self.assertIn("r1", self.chosen(make_view(), TargetRequirement(), 1.0))
        self.router.started(SERVICE.name, "r1")
        self.assertEqual(self.chosen(make_view(), TargetRequirement(), 1.0), {"r2"})
        self.router.finished(SERVICE.name, "r1", 0.01, ok=True)
        self.assertIn("r1", self.chosen(make_view(), TargetRequirement(), 1.0))

    def test_target_that_fails_quickly_does_not_attract_requests(self):
        for _ in range(3):
            self.router.finished(SERVICE.name, "r1", 0.0, ok=False)
        chosen = [
            self.router.choose(SERVICE, make_view(), TargetRequirement(), 0.1)
            for _ in range(100)
        ]
        self.assertLess(chosen.count("r1"), 10)

    def test_unreachable_target_is_avoided(self):
        for _ in range(5):
            self.router.failed(SERVICE.name, "r1")
        self.assertEqual(self.router.health(SERVICE.name, "r1").outstanding, 0)
        self.assertEqual(self.chosen(make_view(), TargetRequirement()), {"r2"})

    def test_excluded_targets_are_not_chosen(self):
        everything = frozenset({"p", "r1", "r2"})
        with self.assertRaises(Refusal) as caught:
            self.router.choose(
                SERVICE, make_view(), TargetRequirement(exclude=everything), 0.0
            )
        self.assertEqual(caught.exception.code, codes.limits.NO_TARGET)

    def test_latency_aware_policies_send_fewer_requests_to_a_slow_target(self):
        for name in ("power_of_two", "weighted_random"):
            router = Router(self.timer, random.Random(1), Metrics(), policy=name)
            for target, latency_s in (("r1", 0.5), ("r2", 0.005)) * 40:
                router.started(SERVICE.name, target)
                router.finished(SERVICE.name, target, latency_s, ok=True)
            chosen = [
                router.choose(SERVICE, make_view(), TargetRequirement(), 0.1)
                for _ in range(200)
            ]
            self.assertLess(chosen.count("r1"), 20, name)

    def test_every_policy_chooses_an_eligible_target(self):
        for name in policy_names():
            router = Router(self.timer, random.Random(1), Metrics(), policy=name)
            self.assertEqual(
                router.choose(
                    SERVICE,
                    make_view(r1=0),
                    TargetRequirement(position=Position(2, 1)),
                    0.1,
                ),
                "r2",
            )

    def test_replica_that_is_about_to_catch_up_is_expected(self):
        need = TargetRequirement(position=Position(2, 110))
        self.timer.advance(1.0)
        self.router.choose(
            SERVICE, make_view(100, 100, 100, 1.0), TargetRequirement(write=True), 1.0
        )
        seen = make_view(110, 100, 100, 1.1)
        self.assertTrue(self.router.replica_expected(SERVICE, seen, need, 0.2, 1.1))

    def test_replica_that_lags_far_behind_is_not_expected(self):
        need = TargetRequirement(position=Position(2, 110))
        self.router.choose(
            SERVICE, make_view(100, 50, 50, 0.0), TargetRequirement(write=True), 0.0
        )
        seen = make_view(110, 50, 50, 5.0)
        self.assertFalse(self.router.replica_expected(SERVICE, seen, need, 0.2, 5.0))

    def test_no_replica_is_expected_when_another_is_eligible(self):
        need = TargetRequirement(position=Position(2, 110))
        seen = make_view(110, 110, 50, 0.0)
        self.assertFalse(self.router.replica_expected(SERVICE, seen, need, 0.2, 0.0))

    def test_no_replica_is_expected_without_a_primary(self):
        need = TargetRequirement(position=Position(2, 110))
        seen = make_view(110, 105, 105, 0.0)
        seen.primary = None
        self.assertFalse(self.router.replica_expected(SERVICE, seen, need, 0.2, 0.0))


class PrimaryHistoryTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.integers(0, 3), st.floats(0.001, 2.0)), max_size=400))
    def test_age_is_never_understated(self, steps):
        history, truth, now, lsn = PrimaryHistory(), [], 0.0, 0
        for growth, gap_s in steps:
            now += gap_s
            lsn += growth
            history.observe(Position(1, lsn), now)
            truth.append((now, lsn))
        for applied in range(0, lsn + 1, max(1, lsn // 7)):
            covered = [seen for seen, at in truth if at <= applied]
            exact = now - covered[-1] if covered else float("inf")
            self.assertGreaterEqual(history.age_s(Position(1, applied), now), exact)


if __name__ == "__main__":
    unittest.main()
