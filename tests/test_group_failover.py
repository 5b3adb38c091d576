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
    """Die right before or after the first effect of a kind."""

    crash_on: type = ev.Fence
    crash_after = 1

    def act(self, effect):
        super().act(effect)
        if self.vm == "p0" and isinstance(effect, self.crash_on):
            self.crash_after -= 1
            if self.crash_after == 0:
                self._network.dead.add(self.vm)


def crashing(kind, after):
    return type("Crashing", (CrashingProxy,), {"crash_on": kind, "crash_after": after})


class PartingProxy(ModelProxy):
    """Keep the first target that is fenced apart from the one that is not."""

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

    def assert_kept(self, cluster, duration_s=4.0):
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

    def test_paused_primary_wakes_and_drops_its_tail(self):
        def scenario(cluster):
            cluster.network.pause("a")
            self.assert_replaced(cluster)
            cluster.network.resume("a")
            cluster.run(2.0)
            kept = cluster.primary().log[: len(cluster.targets["a"].log)]
            self.assertEqual(cluster.targets["a"].log, kept)
            self.assertEqual(cluster.targets["a"].term, cluster.primary().term)

        self.run_seeds(scenario)

    def test_whole_failure_domain_of_the_primary(self):
        def scenario(cluster):
            cluster.network.dead |= {"a", "p0"}
            self.assert_replaced(cluster)

        self.run_seeds(scenario)

    def test_one_watcher_with_a_bad_link_deposes_nobody(self):
        def scenario(cluster):
            cluster.network.cut("a", "p0")
            self.assert_kept(cluster)

        self.run_seeds(scenario)

    def test_one_watcher_cut_off_from_everybody_deposes_nobody(self):
        def scenario(cluster):
            for node in ("a", "b", "c", "p1", "p2"):
                cluster.network.cut(node, "p0")
            self.assert_kept(cluster)

        self.run_seeds(scenario)

    def test_a_dead_replica_deposes_nobody(self):
        def scenario(cluster):
            cluster.network.dead.add("b")
            self.assert_kept(cluster)

        self.run_seeds(scenario)

    def test_a_paused_watcher_wakes_and_deposes_nobody(self):
        def scenario(cluster):
            cluster.network.pause("p0")
            cluster.run(3.0)
            cluster.network.resume("p0")
            self.assert_kept(cluster)

        self.run_seeds(scenario)

    def test_jitter_deposes_nobody(self):
        self.run_seeds(self.assert_kept, latency=Latency(jitter_s=0.1))

    def test_candidate_dies_after_each_step(self):
        steps = [(ev.TakeoverBegan, 1), (ev.Fence, 1), (ev.Fence, 2)]
        steps += [(ev.Promote, 1), (ev.Led, 1), (ev.Follow, 1)]
        for kind, after in steps:
            with self.subTest(kind=kind.__name__, after=after):

                def scenario(cluster):
                    cluster.network.dead.add("a")
                    self.assert_replaced(cluster)

                proxy_type = crashing(kind, after)
                self.run_seeds(scenario, range(2), proxy_type=proxy_type)

    def test_candidate_paused_in_its_takeover_wakes_later(self):
        def scenario(cluster):
            cluster.network.dead.add("a")
            while not cluster.history.takeovers:
                cluster.run(0.002, 0.002)
            _, began = cluster.history.takeovers[0]
            (vm,) = [
                vm
                for vm, one in cluster.proxies.items()
                if one.failover.candidate_term == began.term
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
            while len(cluster.leads) < 2:
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

    def test_a_leaving_primary_hands_over(self):
        def scenario(cluster):
            cluster.targets["a"].leaving = True
            self.assert_replaced(cluster)

        self.run_seeds(scenario)

    def test_a_target_promised_to_a_lost_candidate_comes_back(self):
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


class AnySequenceTest(unittest.TestCase):
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
    """Show that the checks notice what they are for."""

    def broken(self, scenario, **kwargs):
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

        self.assertEqual(self.broken(scenario), [])
        self.assertTrue(self.broken(scenario, acknowledge_early=True))

    def test_promoting_without_fencing_loses_a_write(self):
        def scenario(cluster):
            for vm in ("p0", "p1"):
                cluster.network.cut(vm, "a")
                cluster.network.cut(vm, "p2")
            cluster.run(2.0)
            cluster.network.heal()
            cluster.run(4.0)

        kwargs = {"proxy_type": PartingProxy}
        self.assertEqual(self.broken(scenario, **kwargs), [])
        self.assertTrue(self.broken(scenario, skip_fencing=True, **kwargs))


if __name__ == "__main__":
    unittest.main()
