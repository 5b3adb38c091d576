import asyncio
import itertools
import random
import unittest

from rosemaryridge.exceptions import Refusal
from rosemaryridge.group import GroupView
from rosemaryridge.group import ObservedStatus
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus
from rosemaryridge.session import ReadBound
from rosemaryridge.session import SessionDirectory
from rosemaryridge.session._table import READ_MARK_TTL_S
from rosemaryridge.session._table import SessionTable
from rosemaryridge.timer import LoopTimer
from rosemaryridge_testbed.virtual import VirtualBus
from rosemaryridge_testbed.virtual import VirtualNetwork

KEY = ("shop", "ana")
OTHER = ("shop", "ben")


def view_of(seen_at, **applied):
    view = GroupView("shop", sorted(applied))
    for name, lsn in applied.items():
        role = Role.PRIMARY if name == "a" else Role.REPLICA
        position = Position(1, lsn)
        status = TargetStatus(name, role, 1, 1, position, position)
        view.observe(name, ObservedStatus(status, seen_at))
    return view


class SessionTableTest(unittest.TestCase):
    def setUp(self):
        self.holders = ("p0", "p1", "p2")
        self.table = SessionTable(0.0, lambda key: self.holders, limit=3)

    def test_unknown_session_needs_a_sample_taken_after_the_marks_ended(self):
        self.assertIsNone(self.table.get(KEY, 1.0))
        self.table.record_sample("shop", Position(1, 5), READ_MARK_TTL_S / 2.0)
        self.assertIsNone(self.table.get(KEY, READ_MARK_TTL_S))
        self.table.record_sample("shop", Position(1, 9), READ_MARK_TTL_S)
        bound = self.table.get(KEY, READ_MARK_TTL_S + 1.0)
        self.assertEqual(bound, ReadBound(Position(1, 9)))

    def test_a_position_never_decreases(self):
        self.table.put(KEY, ReadBound(Position(1, 9)), 1.0)
        self.table.put(KEY, ReadBound(Position(1, 4)), 2.0)
        self.assertEqual(self.table.get(KEY, 3.0), ReadBound(Position(1, 9)))

    def test_no_answer_while_other_holders_may_hand_over_records(self):
        self.table.put(KEY, ReadBound(Position(1, 9)), 1.0)
        self.holders = ("p0", "p1", "p3")
        self.assertIsNone(self.table.get(KEY, 2.0))
        ((key, bound, holders),) = self.table.update_holders(2.0)
        self.assertEqual((key, holders), (KEY, self.holders))
        self.assertEqual(bound, ReadBound(Position(1, 9)))
        self.assertIsNone(self.table.get(KEY, 3.0))
        self.assertEqual(self.table.get(KEY, 8.0), ReadBound(Position(1, 9)))

    def test_a_session_with_unchanged_holders_stays_available(self):
        self.table.put(KEY, ReadBound(Position(1, 9)), 1.0)
        self.assertEqual(self.table.update_holders(2.0), ())
        self.assertEqual(self.table.get(KEY, 2.0), ReadBound(Position(1, 9)))

    def test_a_change_of_members_invalidates_the_sample(self):
        self.table.record_sample("shop", Position(1, 9), READ_MARK_TTL_S)
        self.table.update_holders(READ_MARK_TTL_S + 1.0)
        self.assertIsNone(self.table.get(KEY, READ_MARK_TTL_S + 2.0))

    def test_drops_a_session_that_every_target_has_applied(self):
        self.table.put(KEY, ReadBound(Position(1, 9)), 1.0)
        self.table.put(OTHER, ReadBound(Position(1, 4)), 1.0)
        self.table.sweep("shop", view_of(2.0, a=9, b=9, c=8), 2.0)
        self.assertEqual(len(self.table), 1)
        self.table.record_sample("shop", Position(1, 2), READ_MARK_TTL_S)
        self.assertEqual(self.table.get(OTHER, 20.0), ReadBound(Position(1, 4)))

    def test_keeps_a_session_while_a_target_has_no_status(self):
        self.table.put(KEY, ReadBound(Position(1, 1)), 1.0)
        view = GroupView("shop", ("a", "b"))
        self.table.sweep("shop", view, 2.0)
        self.assertEqual(len(self.table), 1)

    def test_eviction_raises_the_minimum_position(self):
        for number in range(5):
            self.table.put(("shop", str(number)), ReadBound(Position(1, number)), 1.0)
        self.assertEqual(len(self.table), 3)
        self.table.record_sample("shop", Position(), READ_MARK_TTL_S)
        self.assertEqual(self.table.get(KEY, 20.0), ReadBound(Position(1, 1)))

    def test_reads_stay_on_their_replica_until_its_position_is_known(self):
        self.table.put(KEY, ReadBound(Position(1, 3), "b"), 1.0)
        self.table.sweep("shop", view_of(2.0, a=9, b=9, c=9), 2.0)
        self.assertEqual(self.table.get(KEY, 3.0), ReadBound(Position(1, 3), "b"))
        late = 1.0 + READ_MARK_TTL_S
        self.table.sweep("shop", view_of(late, a=9, b=7, c=2), late)
        self.assertEqual(self.table.get(KEY, late), ReadBound(Position(1, 7)))


class Members:
    def __init__(self, vms):
        self.vms = list(vms)
        self.callbacks = []

    def holders(self, key, n):
        order = random.Random(key)
        return tuple(sorted(self.vms, key=lambda vm: (order.random(), vm))[:n])

    def on_change(self, callback):
        self.callbacks.append(callback)

    def remove(self, vm):
        self.vms.remove(vm)
        for callback in self.callbacks:
            callback()


class Groups:
    def view(self, service):
        return view_of(0.0, a=50, b=0, c=0)

    async def acknowledge(self, service, target, term, deadline):
        return Position(1, 50)


class SessionDirectoryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.timer = LoopTimer()
        self.links = VirtualNetwork(self.timer, random.Random(1), 0.001)
        self.members = Members(("p0", "p1", "p2", "p3", "p4"))
        self.buses = {vm: VirtualBus(self.links, vm, vm) for vm in self.members.vms}
        self.proxies = {
            vm: SessionDirectory(self.timer, bus, self.members, Groups(), vm)
            for vm, bus in self.buses.items()
        }
        for one, other in itertools.combinations(self.buses.values(), 2):
            one.set_address(other.vm, other.endpoint)
            other.set_address(one.vm, one.endpoint)
            one.contact(other.endpoint)
        async with asyncio.timeout(30.0):
            while any(len(bus.peers()) < 4 for bus in self.buses.values()):
                await asyncio.sleep(0.01)

    async def crash(self, vm):
        self.links.crash(vm)
        others = [bus for name, bus in self.buses.items() if name != vm]
        async with asyncio.timeout(30.0):
            while any(vm in bus.peers() for bus in others):
                await asyncio.sleep(0.01)

    async def test_every_proxy_finds_a_record_of_another_proxy(self):
        await self.proxies["p0"].record(*KEY, Position(1, 7))
        for vm, proxy in self.proxies.items():
            with self.subTest(vm=vm):
                self.assertEqual(await proxy.find(*KEY), ReadBound(Position(1, 7)))

    async def test_records_survive_the_crash_of_their_proxy(self):
        for number in range(20):
            key = ("shop", f"s{number}")
            await self.proxies["p0"].record(*key, Position(1, number))
        await self.crash("p0")
        for number in range(20):
            key = ("shop", f"s{number}")
            bound = await self.proxies["p4"].find(*key)
            self.assertIn(bound, (None, ReadBound(Position(1, number))))
            self.assertIsNotNone(bound)

    async def test_an_unknown_session_must_read_from_the_primary(self):
        self.assertIsNone(await self.proxies["p1"].find(*KEY))

    async def test_record_is_refused_without_a_majority_of_holders(self):
        holders = self.members.holders(f"session/{KEY[0]}/{KEY[1]}", 3)
        outside = next(vm for vm in self.members.vms if vm not in holders)
        for vm in holders[:2]:
            await self.crash(vm)
        with self.assertRaises(Refusal):
            deadline = self.timer.now() + 0.5
            await self.proxies[outside].record(*KEY, Position(1, 7), deadline)

    async def test_a_read_from_another_replica_replaces_the_mark(self):
        await self.proxies["p0"].mark(*KEY, Position(1, 1), "b")
        self.assertEqual(
            await self.proxies["p1"].find(*KEY), ReadBound(Position(1, 1), "b")
        )
        await self.proxies["p1"].mark(*KEY, Position(1, 2), "c")
        self.assertEqual((await self.proxies["p0"].find(*KEY)).replica, "c")
        await self.proxies["p0"].mark(*KEY, Position(1, 3), "b")
        self.assertEqual((await self.proxies["p1"].find(*KEY)).replica, "b")

    async def test_records_are_handed_over_to_new_holders(self):
        await self.proxies["p0"].record(*KEY, Position(1, 7))
        holders = self.members.holders(f"session/{KEY[0]}/{KEY[1]}", 3)
        self.members.remove(holders[0])
        self.assertIsNone(await self.proxies["p0"].find(*KEY))
        bound = None
        async with asyncio.timeout(30.0):
            while bound is None:
                await asyncio.sleep(0.1)
                bound = await self.proxies["p0"].find(*KEY)
        self.assertEqual(bound, ReadBound(Position(1, 7)))


if __name__ == "__main__":
    unittest.main()
