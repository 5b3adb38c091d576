import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from rosemaryridge.pool._leadership import AllocatorRecord
from rosemaryridge.pool._leadership import Leadership
from rosemaryridge.pool._lease_allocator import LeaseAllocator
from rosemaryridge.pool._lease_allocator import fair_share
from rosemaryridge.pool._lease_holder import LeaseHolder
from rosemaryridge.pool._lease_messages import LeaseRequest
from rosemaryridge.pool._lease_messages import Units

KEY = ("vialbook", "t1")
LENDABLE = 7
DURATION_S = 10.0
PERIOD_S = 20.0


def make_request(number, units, incarnation=1):
    return LeaseRequest(incarnation, number, (Units(*KEY, units),))


def make_allocator(until=100.0):
    leases = LeaseAllocator(DURATION_S)
    leases.set_lendable(KEY, LENDABLE)
    leases.set_leader_until(until)
    return leases


def granted_units(answer):
    return answer.granted[0].units if answer.granted else None


class LeaseAllocatorTest(unittest.TestCase):
    def test_grants_free_connections_again_after_expiry(self):
        leases = make_allocator()
        self.assertEqual(
            granted_units(leases.handle_request("vm1", make_request(1, 5), 0.0)), 5
        )
        self.assertEqual(
            granted_units(leases.handle_request("vm2", make_request(1, 5), 1.0)), 2
        )
        self.assertEqual(
            granted_units(leases.handle_request("vm2", make_request(2, 5), 10.5)), 5
        )

    def test_returned_connections_are_free_at_once(self):
        leases = make_allocator()
        leases.handle_request("vm1", make_request(1, 7), 0.0)
        leases.handle_request("vm1", make_request(2, 1), 0.1)
        self.assertEqual(
            granted_units(leases.handle_request("vm2", make_request(1, 7), 0.2)), 6
        )

    def test_smaller_grant_frees_connections_only_after_the_old_lease_expires(self):
        leases = make_allocator()
        leases.handle_request("vm1", make_request(1, 7), 0.0)
        self.assertEqual(
            granted_units(leases.handle_request("vm2", make_request(1, 7), 0.1)), 0
        )
        self.assertEqual(
            granted_units(leases.handle_request("vm1", make_request(2, 7), 0.2)), 4
        )
        self.assertEqual(leases.leased_units(KEY, 0.3), 7)
        self.assertEqual(
            granted_units(leases.handle_request("vm2", make_request(2, 7), 10.2)), 3
        )

    def test_no_lease_outlasts_the_leadership_term(self):
        leases = make_allocator(until=4.0)
        answer = leases.handle_request("vm1", make_request(1, 1), 1.0)
        self.assertLessEqual(answer.duration_s, 3.0)
        self.assertEqual(
            leases.handle_request("vm1", make_request(2, 1), 4.0).duration_s, 0.0
        )

    def test_outdated_requests_are_ignored(self):
        leases = make_allocator()
        leases.handle_request("vm1", make_request(2, 1), 0.0)
        self.assertEqual(
            leases.handle_request("vm1", make_request(1, 7), 0.1).duration_s, 0.0
        )
        self.assertEqual(leases.leased_units(KEY, 0.2), 1)

    def test_lease_of_an_earlier_incarnation_stays_in_force_until_it_expires(self):
        leases = make_allocator()
        leases.handle_request("vm1", make_request(9, 7), 0.0)
        self.assertEqual(
            granted_units(leases.handle_request("vm1", make_request(1, 7, 2), 1.0)), 0
        )
        self.assertEqual(
            granted_units(leases.handle_request("vm1", make_request(2, 7, 2), 10.5)), 7
        )

    @given(st.integers(0, 50), st.dictionaries(st.text("abc"), st.integers(0, 20)))
    def test_fair_shares_never_exceed_the_total(self, total, demands):
        parts = {name: fair_share(total, demands, name) for name in demands}
        self.assertEqual(sum(parts.values()), min(total, sum(demands.values())))
        for name, part in parts.items():
            self.assertLessEqual(part, demands[name])


class Process:
    """Run the lease protocol of one proxy by its own clock."""

    def __init__(self, vm, incarnation, rate, started_at):
        self.vm = vm
        self.rate = rate
        self.started_at = started_at
        self.paused = False
        self.holder = LeaseHolder(incarnation)
        self.allocator = LeaseAllocator(DURATION_S)
        self.allocator.set_lendable(KEY, LENDABLE)
        self.leadership = Leadership(AllocatorRecord(vm, incarnation), PERIOD_S)

    def now(self, time):
        return 1000.0 + (time - self.started_at) * self.rate


class SimulatedProxies:
    """Lose, delay and reorder messages between processes and the store."""

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
            self.processes.append(self.start_process(f"vm{number}"))

    def start_process(self, vm):
        self.incarnation += 1
        rate = self.rng.uniform(0.996, 1.004)
        return Process(vm, self.incarnation, rate, self.time)

    def in_use(self):
        processes = self.processes + self.retired
        return sum(
            process.holder.units(KEY, process.now(self.time)) for process in processes
        )

    def step(self, action, number, amount):
        process = self.processes[number % len(self.processes)]
        if action == "wait":
            self.time += amount * self.rng.uniform(0.0, 0.6)
        elif action == "pause":
            process.paused = not process.paused
        elif action == "replace":
            self.retired.append(process)
            self.processes[number % len(self.processes)] = self.start_process(
                process.vm
            )
        elif action == "deliver" and self.messages:
            self.messages.pop(number % len(self.messages))()
        elif action == "lose" and self.messages:
            self.messages.pop(number % len(self.messages))
        elif not process.paused and action == "ask":
            self.ask(process, amount)
        elif not process.paused and action == "store":
            self.read_record(process)
        elif not process.paused and action == "renew":
            self.send_write(
                process, process.leadership.renewal_write(process.now(self.time))
            )

    def ask(self, process, amount):
        req = process.holder.next_request({KEY: amount}, process.now(self.time))
        for other in self.processes:
            self.messages.append(lambda other=other: self.answer(process, other, req))

    def answer(self, process, other, req):
        if other.paused:
            return
        answer = other.allocator.handle_request(process.vm, req, other.now(self.time))
        self.messages.append(lambda: process.paused or process.holder.on_answer(answer))

    def read_record(self, process):
        record, version = self.record, self.version

        def deliver():
            if not process.paused:
                write = process.leadership.on_read(
                    record, version, process.now(self.time)
                )
                process.allocator.set_leader_until(process.leadership.until)
                self.send_write(process, write)

        self.messages.append(deliver)

    def send_write(self, process, write):
        if write is not None:
            self.messages.append(lambda: self.store_write(process, write))

    def store_write(self, process, write):
        if write.expected != self.version:
            self.messages.append(process.leadership.on_conflict)
            return
        self.version += 1
        self.record = write.record
        version = self.version

        def confirm():
            process.leadership.on_written(version, process.now(self.time))
            process.allocator.set_leader_until(process.leadership.until)

        self.messages.append(confirm)


ACTIONS = ("wait", "ask", "store", "renew", "deliver", "lose", "pause", "replace")
WEIGHTS = (3, 2, 1, 1, 20, 1, 0.3, 0.1)


class LeaseProtocolTest(unittest.TestCase):
    def run_steps(self, proxies, steps):
        peak = 0
        for action, number, amount in steps:
            proxies.step(action, number, amount)
            self.assertLessEqual(proxies.in_use(), LENDABLE)
            peak = max(peak, proxies.in_use())
        return peak

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
    def test_leases_in_force_never_exceed_lendable_connections(self, steps, rng):
        self.run_steps(SimulatedProxies(rng), steps)

    def test_long_random_runs_grant_all_but_never_exceed_lendable(self):
        peaks = []
        for seed in range(60):
            rng = random.Random(seed)
            proxies = SimulatedProxies(rng)
            actions = rng.choices(ACTIONS, WEIGHTS, k=1500)
            steps = [
                (action, rng.randrange(1000), rng.randint(0, LENDABLE))
                for action in actions
            ]
            peaks.append(self.run_steps(proxies, steps))
        self.assertGreaterEqual(sum(1 for peak in peaks if peak == LENDABLE), 30)

    def test_replaces_another_leader_only_after_its_term(self):
        first = Leadership(AllocatorRecord("vm1", 1), PERIOD_S)
        second = Leadership(AllocatorRecord("vm2", 1), PERIOD_S)
        write = first.on_read(None, 0, 0.0)
        first.on_written(1, 0.1)
        self.assertEqual(write.expected, 0)
        self.assertIsNone(second.on_read(write.record, 1, 0.2))
        self.assertIsNone(second.on_read(write.record, 1, 20.0))
        self.assertIsNotNone(second.on_read(write.record, 1, 20.5))
        self.assertLess(first.until, 20.0)

    def test_write_with_lost_answer_is_recognized_on_read(self):
        leadership = Leadership(AllocatorRecord("vm1", 1), PERIOD_S)
        leadership.on_read(None, 0, 0.0)
        leadership.on_read(AllocatorRecord("vm1", 1), 1, 5.0)
        self.assertAlmostEqual(leadership.until, 0.99 * PERIOD_S)


if __name__ == "__main__":
    unittest.main()
