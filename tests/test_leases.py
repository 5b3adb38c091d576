import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from rosemaryridge.pool._grantor import Grantor
from rosemaryridge.pool._grantor import fair_share
from rosemaryridge.pool._holder import LeaseHolder
from rosemaryridge.pool._lease_messages import LeaseRequest
from rosemaryridge.pool._lease_messages import Units
from rosemaryridge.pool._reign import GrantorRecord
from rosemaryridge.pool._reign import Reign

KEY = ("vialbook", "t1")
LENDABLE = 7
DURATION_S = 10.0
TERM_S = 20.0


def request(number, units, incarnation=1):
    return LeaseRequest(incarnation, number, (Units(*KEY, units),))


def grantor(until=100.0):
    one = Grantor(DURATION_S)
    one.set_lendable(KEY, LENDABLE)
    one.reign(until)
    return one


def units(answer):
    return answer.granted[0].units if answer.granted else None


class GrantorTest(unittest.TestCase):
    def test_lends_what_is_free_and_gets_it_back_by_lapse(self):
        one = grantor()
        self.assertEqual(units(one.request("vm1", request(1, 5), 0.0)), 5)
        self.assertEqual(units(one.request("vm2", request(1, 5), 1.0)), 2)
        self.assertEqual(units(one.request("vm2", request(2, 5), 10.5)), 5)

    def test_returned_units_are_free_at_once(self):
        one = grantor()
        one.request("vm1", request(1, 7), 0.0)
        one.request("vm1", request(2, 1), 0.1)
        self.assertEqual(units(one.request("vm2", request(1, 7), 0.2)), 6)

    def test_a_cut_in_the_share_counts_only_after_the_old_lease(self):
        one = grantor()
        one.request("vm1", request(1, 7), 0.0)
        self.assertEqual(units(one.request("vm2", request(1, 7), 0.1)), 0)
        self.assertEqual(units(one.request("vm1", request(2, 7), 0.2)), 4)
        self.assertEqual(one.lent(KEY, 0.3), 7)
        self.assertEqual(units(one.request("vm2", request(2, 7), 10.2)), 3)

    def test_no_lease_outlasts_the_reign(self):
        one = grantor(until=4.0)
        answer = one.request("vm1", request(1, 1), 1.0)
        self.assertLessEqual(answer.duration_s, 3.0)
        self.assertEqual(one.request("vm1", request(2, 1), 4.0).duration_s, 0.0)

    def test_outdated_requests_change_nothing(self):
        one = grantor()
        one.request("vm1", request(2, 1), 0.0)
        self.assertEqual(one.request("vm1", request(1, 7), 0.1).duration_s, 0.0)
        self.assertEqual(one.lent(KEY, 0.2), 1)

    def test_an_earlier_incarnation_keeps_its_lease_until_it_lapses(self):
        one = grantor()
        one.request("vm1", request(9, 7), 0.0)
        self.assertEqual(units(one.request("vm1", request(1, 7, 2), 1.0)), 0)
        self.assertEqual(units(one.request("vm1", request(2, 7, 2), 10.5)), 7)

    @given(st.integers(0, 50), st.dictionaries(st.text("abc"), st.integers(0, 20)))
    def test_fair_shares_never_pass_the_total(self, total, demands):
        parts = {name: fair_share(total, demands, name) for name in demands}
        self.assertEqual(sum(parts.values()), min(total, sum(demands.values())))
        for name, part in parts.items():
            self.assertLessEqual(part, demands[name])


class Process:
    """Run one proxy's part of the protocol by its own clock."""

    def __init__(self, vm, incarnation, rate, born):
        self.vm = vm
        self.rate = rate
        self.born = born
        self.paused = False
        self.holder = LeaseHolder(incarnation)
        self.grantor = Grantor(DURATION_S)
        self.grantor.set_lendable(KEY, LENDABLE)
        self.reign = Reign(GrantorRecord(vm, incarnation), TERM_S)

    def now(self, time):
        return 1000.0 + (time - self.born) * self.rate


class World:
    """Lose, delay and reorder everything between processes and the store."""

    def __init__(self, rng):
        self.rng = rng
        self.time = 0.0
        self.incarnation = 0
        self.record = None
        self.version = 0
        self.messages = []
        self.processes = []
        self.retired = []
        for number in range(4):
            self.processes.append(self.birth(f"vm{number}"))

    def birth(self, vm):
        self.incarnation += 1
        rate = self.rng.uniform(0.996, 1.004)
        return Process(vm, self.incarnation, rate, self.time)

    def in_use(self):
        everyone = self.processes + self.retired
        return sum(one.holder.units(KEY, one.now(self.time)) for one in everyone)

    def step(self, action, number, amount):
        one = self.processes[number % len(self.processes)]
        if action == "wait":
            self.time += amount * self.rng.uniform(0.0, 0.6)
        elif action == "pause":
            one.paused = not one.paused
        elif action == "replace":
            self.retired.append(one)
            self.processes[number % len(self.processes)] = self.birth(one.vm)
        elif action == "deliver" and self.messages:
            self.messages.pop(number % len(self.messages))()
        elif action == "lose" and self.messages:
            self.messages.pop(number % len(self.messages))
        elif not one.paused and action == "ask":
            self.ask(one, amount)
        elif not one.paused and action == "store":
            self.reads(one)
        elif not one.paused and action == "renew":
            self.writes(one, one.reign.renew(one.now(self.time)))

    def ask(self, one, amount):
        req = one.holder.request({KEY: amount}, one.now(self.time))
        for other in self.processes:
            self.messages.append(lambda other=other: self.answer(one, other, req))

    def answer(self, one, other, req):
        if other.paused:
            return
        answer = other.grantor.request(one.vm, req, other.now(self.time))
        self.messages.append(lambda: one.paused or one.holder.answer(answer))

    def reads(self, one):
        record, version = self.record, self.version

        def arrive():
            if not one.paused:
                write = one.reign.read(record, version, one.now(self.time))
                one.grantor.reign(one.reign.until)
                self.writes(one, write)

        self.messages.append(arrive)

    def writes(self, one, write):
        if write is not None:
            self.messages.append(lambda: self.put(one, write))

    def put(self, one, write):
        if write.expected != self.version:
            self.messages.append(one.reign.refused)
            return
        self.version += 1
        self.record = write.record
        version = self.version

        def made():
            one.reign.written(version, one.now(self.time))
            one.grantor.reign(one.reign.until)

        self.messages.append(made)


ACTIONS = ("wait", "ask", "store", "renew", "deliver", "lose", "pause", "replace")
WEIGHTS = (3, 2, 1, 1, 20, 1, 0.3, 0.1)


class LeaseProtocolTest(unittest.TestCase):
    def run_world(self, world, steps):
        most = 0
        for action, number, amount in steps:
            world.step(action, number, amount)
            self.assertLessEqual(world.in_use(), LENDABLE)
            most = max(most, world.in_use())
        return most

    @settings(max_examples=300, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.sampled_from(ACTIONS), st.integers(0, 30), st.integers(0, LENDABLE)
            ),
            max_size=150,
        ),
        st.randoms(use_true_random=False),
    )
    def test_leases_in_force_never_pass_what_can_be_lent(self, steps, rng):
        self.run_world(World(rng), steps)

    def test_long_random_runs_lend_and_never_pass(self):
        lent = []
        for seed in range(60):
            rng = random.Random(seed)
            world = World(rng)
            actions = rng.choices(ACTIONS, WEIGHTS, k=1500)
            steps = [
                (a, rng.randrange(1000), rng.randint(0, LENDABLE)) for a in actions
            ]
            lent.append(self.run_world(world, steps))
        self.assertGreaterEqual(sum(1 for most in lent if most == LENDABLE), 30)

    def test_takes_over_only_after_the_term_has_passed(self):
        first = Reign(GrantorRecord("vm1", 1), TERM_S)
        second = Reign(GrantorRecord("vm2", 1), TERM_S)
        write = first.read(None, 0, 0.0)
        first.written(1, 0.1)
        self.assertEqual(write.expected, 0)
        self.assertIsNone(second.read(write.record, 1, 0.2))
        self.assertIsNone(second.read(write.record, 1, 20.0))
        self.assertIsNotNone(second.read(write.record, 1, 20.5))
        self.assertLess(first.until, 20.0)

    def test_a_lost_answer_is_read_back(self):
        reign = Reign(GrantorRecord("vm1", 1), TERM_S)
        reign.read(None, 0, 0.0)
        reign.read(GrantorRecord("vm1", 1), 1, 5.0)
        self.assertAlmostEqual(reign.until, 0.99 * TERM_S)


if __name__ == "__main__":
    unittest.main()
