import random
import unittest

import hypothesis
from hypothesis import strategies as st

from rosemaryridge.group import _events as ev
from rosemaryridge_testbed.experiments import Cluster
from rosemaryridge_testbed.experiments import Latency
from rosemaryridge_testbed.experiments import ModelProxy

SEEDS = range(4)


class CrashingProxy(ModelProxy):
    """Crash p0 right after it has carried out the n-th effect of one kind."""

    crash_effect: type = ev.Fence
    crash_after = 1

    def act(self, effect):
        super().act(effect)
        if self.vm == "p0" and isinstance(effect, self.crash_effect):
            self.crash_after -= 1
            if self.crash_after == 0:
                self._network.dead.add(self.vm)


def crashing_proxy_type(kind, after):
    return type(
        "Crashing", (CrashingProxy,), {"crash_effect": kind, "crash_after": after}
    )


class PartitioningProxy(ModelProxy):
    """Partition the network right after the first fence request.

    p2 loses the target that is being fenced, p0 and p1 lose the other replica.
    """

    def act(self, effect):
        super().act(effect)
        if isinstance(effect, ev.Fence) and not self._network.split:
            self._network.split = True
            (other,) = {"b", "c"} - {effect.target}
            self._network.cut("p2", effect.target)
            for vm in ("p0", "p1"):
                self._network.cut(vm, other)


class FailoverTest(unittest.TestCase):
    def run_seeds(self, scenario, seeds=SEEDS, **kwargs):
        for seed in seeds:
            with self.subTest(seed=seed):
                cluster = Cluster(seed, **kwargs)
                cluster.run(0.5 + random.Random(seed).random())
                scenario(cluster)
                self.assertEqual(cluster.violations(), ())

    def assert_replaced(self, cluster, old="a", within_s=4.0):
        at = cluster.timer.now()
        cluster.run(within_s)
        self.assertNotEqual(cluster.primary().name, old)
        self.assertLess(cluster.gap_s(at), within_s)

    def assert_not_replaced(self, cluster, duration_s=4.0):
        at = cluster.timer.now()
        cluster.run(duration_s)
        self.assertEqual(cluster.history.takeovers, [])
        self.assertEqual(cluster.primary().name, "a")
        self.assertLess(cluster.gap_s(at), duration_s)

    def test_dead_primary(self):
        def scenario(cluster):
            cluster.network.dead.add("a")
            self.assert_replaced(cluster)

        self.run_seeds(scenario)

    def test_primary_cut_off_from_every_proxy(self):
        def scenario(cluster):
            for vm in cluster.proxies:
                cluster.network.cut("a", vm)
            self.assert_replaced(cluster)
            cluster.network.heal()
            cluster.run(2.0)
            self.assertTrue(cluster.targets["a"].upstream)

        self.run_seeds(scenario)

    def test_primary_cut_off_from_its_replicas_alone(self):
        def scenario(cluster):
            cluster.network.cut("a", "b")
            cluster.network.cut("a", "c")
            self.assert_replaced(cluster)

        self.run_seeds(scenario)

    def test_resumed_primary_truncates_its_log(self):
        def scenario(cluster):
            cluster.network.pause("a")
            self.assert_replaced(cluster)
            cluster.network.resume("a")
            cluster.run(2.0)
            prefix = cluster.primary().log[: len(cluster.targets["a"].log)]
            self.assertEqual(cluster.targets["a"].log, prefix)
            self.assertEqual(cluster.targets["a"].term, cluster.primary().term)

        self.run_seeds(scenario)

    def test_failure_domain_of_the_primary_fails(self):
        def scenario(cluster):
            cluster.network.dead |= {"a", "p0"}
            self.assert_replaced(cluster)

        self.run_seeds(scenario)

    def test_no_takeover_if_one_watcher_loses_the_primary(self):
        def scenario(cluster):
            cluster.network.cut("a", "p0")
            self.assert_not_replaced(cluster)

        self.run_seeds(scenario)

    def test_no_takeover_by_an_isolated_watcher(self):
        def scenario(cluster):
            for node in ("a", "b", "c", "p1", "p2"):
                cluster.network.cut(node, "p0")
            self.assert_not_replaced(cluster)

        self.run_seeds(scenario)

    def test_no_takeover_after_a_replica_fails(self):
        def scenario(cluster):
            cluster.network.dead.add("b")
            self.assert_not_replaced(cluster)

        self.run_seeds(scenario)

    def test_no_takeover_by_a_resumed_watcher(self):
        def scenario(cluster):
            cluster.network.pause("p0")
            cluster.run(3.0)
            cluster.network.resume("p0")
            self.assert_not_replaced(cluster)

        self.run_seeds(scenario)

    def test_no_takeover_under_jitter(self):
        self.run_seeds(self.assert_not_replaced, latency=Latency(jitter_s=0.1))

    def test_candidate_crashes_after_each_step(self):
        steps = [(ev.AnnounceTakeover, 1), (ev.Fence, 1), (ev.Fence, 2)]
        steps += [(ev.Promote, 1), (ev.AnnouncePromotion, 1), (ev.Follow, 1)]
        for kind, after in steps:
            with self.subTest(kind=kind.__name__, after=after):

                def scenario(cluster):
                    cluster.network.dead.add("a")
                    self.assert_replaced(cluster)

                proxy_type = crashing_proxy_type(kind, after)
                self.run_seeds(scenario, range(2), proxy_type=proxy_type)

    def test_candidate_is_paused_during_its_takeover(self):
        def scenario(cluster):
            cluster.network.dead.add("a")
            while not cluster.history.takeovers:
                cluster.run(0.002, 0.002)
            _, began = cluster.history.takeovers[0]
            (vm,) = [
                vm
                for vm, proxy in cluster.proxies.items()
                if proxy.failover.candidate_term == began.term
            ]
            cluster.network.pause(vm)
            cluster.run(3.0)
            cluster.network.resume(vm)
            term = cluster.primary().term
            cluster.run(2.0)
            self.assertEqual(cluster.primary().term, term)

        self.run_seeds(scenario)

    def test_second_failover_during_the_first(self):
        def scenario(cluster):
            cluster.network.dead.add("a")
            while len(cluster.primaries_by_term) < 2:
                cluster.run(0.01, 0.01)
            second = cluster.primary().name
            cluster.network.pause(second)
            cluster.run(1.0)
            cluster.start("a")
            self.assert_replaced(cluster, second)
            cluster.network.resume(second)
            cluster.run(2.0)

        self.run_seeds(scenario)

    def test_two_faults_together(self):
        def scenario(cluster):
            cluster.network.dead.add("a")
            cluster.network.cut("p0", "b")
            cluster.network.cut("p1", "p2")
            self.assert_replaced(cluster)

        self.run_seeds(scenario)

    def test_draining_primary_hands_over(self):
        def scenario(cluster):
            cluster.targets["a"].leaving = True
            self.assert_replaced(cluster)

        self.run_seeds(scenario)

    def test_target_fenced_by_a_lost_candidate_rejoins(self):
        def scenario(cluster):
            cluster.targets["b"].fence(7, "lost")
            cluster.run(5.0)
            self.assertEqual(cluster.primary().name, "a")
            self.assertEqual(cluster.targets["b"].term, cluster.primary().term)

        self.run_seeds(scenario)


NODES = ("a", "b", "c", "p0", "p1", "p2")
PAIRS = [(one, other) for one in NODES for other in NODES if one < other]
STEPS = st.lists(
    st.one_of(
        st.tuples(st.just("cut"), st.sampled_from(PAIRS)),
        st.tuples(st.just("pause"), st.sampled_from(NODES)),
        st.tuples(st.just("resume"), st.sampled_from(NODES)),
        st.tuples(st.just("kill"), st.sampled_from(NODES)),
        st.tuples(st.just("start"), st.sampled_from(NODES)),
        st.tuples(st.just("heal"), st.none()),
        st.tuples(st.just("wait"), st.floats(0.05, 1.0)),
    ),
    max_size=12,
)


class FaultSequenceTest(unittest.TestCase):
    @hypothesis.settings(max_examples=20, deadline=None, derandomize=True)
    @hypothesis.given(STEPS, st.integers(0, 2**16))
    def test_keeps_every_promise_and_recovers(self, steps, seed):
        cluster = Cluster(seed, Latency(jitter_s=0.02, loss=0.01))
        cluster.run(0.5, 0.05)
        for name, given in steps:
            self.step(cluster, name, given)
            cluster.run(0.3, 0.05)
        for node in NODES:
            self.step(cluster, "resume", node)
            self.step(cluster, "start", node)
        cluster.network.heal()
        at = cluster.timer.now()
        cluster.run(6.0, 0.05)
        self.assertEqual(cluster.violations(), ())
        self.assertLess(cluster.gap_s(at), 6.0)

    def step(self, cluster, name, given):
        network = cluster.network
        if name == "cut":
            network.cut(*given)
        elif name == "heal":
            network.heal()
        elif name == "wait":
            cluster.run(given, 0.05)
        elif name == "kill":
            network.dead.add(given)
        elif name == "start":
            cluster.start(given)
        else:
            getattr(network, name)(given)


class PlantedFaultTest(unittest.TestCase):
    """Check that Cluster.violations() detects injected faults."""

    def find_violations(self, scenario, **kwargs):
        found = []
        for seed in SEEDS:
            cluster = Cluster(seed, **kwargs)
            cluster.network.split = False
            cluster.run(1.0)
            scenario(cluster)
            found += cluster.violations()
        return found

    def test_acknowledging_early_loses_a_write(self):
        def scenario(cluster):
            cluster.network.cut("a", "b")
            cluster.network.cut("a", "c")
            cluster.run(4.0)

        self.assertEqual(self.find_violations(scenario), [])
        self.assertTrue(self.find_violations(scenario, acknowledge_early=True))

    def test_promoting_without_fencing_loses_a_write(self):
        def scenario(cluster):
            for vm in ("p0", "p1"):
                cluster.network.cut(vm, "a")
                cluster.network.cut(vm, "p2")
            cluster.run(2.0)
            cluster.network.heal()
            cluster.run(4.0)

        kwargs = {"proxy_type": PartitioningProxy}
        self.assertEqual(self.find_violations(scenario, **kwargs), [])
        self.assertTrue(self.find_violations(scenario, skip_fencing=True, **kwargs))


if __name__ == "__main__":
    unittest.main()
