import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from rosemaryridge.config import ServiceConfig
from rosemaryridge.membership import Membership
from rosemaryridge.membership import MembershipSettings
from rosemaryridge.membership._messages import MemberRecord
from rosemaryridge.membership._messages import MemberState
from rosemaryridge.membership._messages import Suspicion
from rosemaryridge.membership._placement import Placement
from rosemaryridge.membership._table import MemberTable
from rosemaryridge.objects import VmRecord
from rosemaryridge.timer import ManualTimer
from rosemaryridge_testbed.virtual import VirtualBus
from rosemaryridge_testbed.virtual import VirtualNetwork
from rosemaryridge_testbed.virtual import VirtualStore

DOMAINS = ("suva", "labasa", "lakeba")
CFG = MembershipSettings()
DRAINING_SPREAD_S = 3.0


def record(vm, incarnation=1, version=0, state=MemberState.LIVE, domain="suva"):
    return MemberRecord(vm, incarnation, version, state, domain, "fiji", "127.0.0.1:1")


def service(name):
    return ServiceConfig(name, 1, name, ())


class PlacementTest(unittest.TestCase):
    @settings(max_examples=60, deadline=None)
    @given(
        st.lists(
            st.tuples(st.booleans(), st.integers(0, 15), st.sampled_from(DOMAINS)),
            max_size=40,
        )
    )
    def test_cached_rankings_equal_fresh_ones(self, steps):
        cached, members = Placement(), {}
        keys = [f"service/{n}" for n in range(5)]
        for joins, number, domain in steps:
            vm = f"vm{number}"
            if joins:
                cached.add(vm, domain)
                members[vm] = domain
            else:
                cached.remove(vm)
                members.pop(vm, None)
            fresh = Placement()
            for one, where in members.items():
                fresh.add(one, where)
            for key in keys:
                ranked = cached.top(key, 4)
                self.assertEqual(ranked, fresh.top(key, 4))
                self.assertEqual(
                    {members[one] for one in ranked}, set(members.values())
                )
                self.assertEqual(
                    len(ranked), max(min(4, len(members)), len(set(members.values())))
                )

    def test_a_leaving_member_moves_only_its_own_keys(self):
        placement = Placement()
        for number in range(20):
            placement.add(f"vm{number}", DOMAINS[number % 3])
        keys = [f"session{n}" for n in range(500)]
        before = {key: placement.holders(key, 2) for key in keys}
        placement.remove("vm7")
        for key in keys:
            after = placement.holders(key, 2)
            if "vm7" not in before[key]:
                self.assertEqual(after, before[key])
            self.assertNotIn("vm7", after)


class MemberTableTest(unittest.TestCase):
    def table(self):
        return MemberTable(record("vm0"), 3.0, 600.0)

    def live(self, table):
        return {one.vm for one in table.live()}

    def test_suspected_member_stays_live_until_confirmed_or_refuted(self):
        table = self.table()
        table.apply(record("vm1"))
        table.suspect(Suspicion("vm1", 1, 0), 0.0)
        table.expire(frozenset(), 2.9)
        self.assertEqual(self.live(table), {"vm0", "vm1"})
        table.apply(record("vm1", version=1))
        table.expire(frozenset(), 10.0)
        self.assertEqual(self.live(table), {"vm0", "vm1"})

    def test_unrefuted_suspicion_declares_dead_and_a_newer_record_revives(self):
        table = self.table()
        table.apply(record("vm1"))
        table.suspect(Suspicion("vm1", 1, 0), 0.0)
        self.assertTrue(table.expire(frozenset(), 3.0))
        self.assertEqual(self.live(table), {"vm0"})
        self.assertFalse(table.apply(record("vm1")))
        self.assertTrue(table.apply(record("vm1", version=1)))
        self.assertEqual(self.live(table), {"vm0", "vm1"})

    def test_connected_member_is_never_declared_dead(self):
        table = self.table()
        table.apply(record("vm1"))
        table.suspect(Suspicion("vm1", 1, 0), 0.0)
        table.expire(frozenset({"vm1"}), 10.0)
        self.assertEqual(self.live(table), {"vm0", "vm1"})

    def test_refutes_a_suspicion_about_itself(self):
        table = self.table()
        self.assertTrue(table.suspect(Suspicion("vm0", 1, 0), 0.0))
        self.assertEqual(table.own_record.version, 1)
        self.assertFalse(table.suspect(Suspicion("vm0", 1, 0), 0.0))

    @settings(max_examples=100, deadline=None)
    @given(
        st.lists(
            st.tuples(
                st.integers(1, 3),
                st.integers(1, 2),
                st.integers(0, 3),
                st.sampled_from(MemberState),
            ),
            max_size=20,
        ),
        st.randoms(use_true_random=False),
    )
    def test_order_and_repeats_do_not_matter(self, said, rng):
        said = [(vm, inc, ver, state) for vm, inc, ver, state in said]
        unique = {(vm, inc, ver): state for vm, inc, ver, state in said}
        records = [record(f"vm{k[0]}", k[1], k[2], s) for k, s in unique.items()]
        tables = []
        for _ in range(2):
            table = self.table()
            for known in (1, 2, 3):
                table.apply(record(f"vm{known}", 0, 0))
            for one in records + records:
                table.apply(one)
            rng.shuffle(records)
            tables.append(table)
        self.assertEqual(tables[0].digest, tables[1].digest)
        self.assertEqual(set(tables[0].records()), set(tables[1].records()))


class MembershipTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        asyncio.get_running_loop().set_debug(False)
        self.timer = ManualTimer()
        self.network = VirtualNetwork(self.timer, random.Random(1), 0.0015)
        self.store = VirtualStore()
        self.members = {}

    async def join(self, vm, domain, incarnation=1):
        bus = VirtualBus(self.network, vm, domain, incarnation)
        seeds = [one.identity.endpoint for one in list(self.members.values())[:2]]
        rng = random.Random(vm)
        member = Membership(CFG, self.timer, rng, bus.identity, bus, self.store, seeds)
        await member.start()
        self.members[vm] = member
        return member

    async def fleet(self, size):
        for number in range(size):
            await self.join(f"vm{number:02}", DOMAINS[number % 3])
        self.timer.advance(20.0)
        self.assert_agreed(set(self.members))

    def assert_agreed(self, expected, among=None):
        for vm in among or expected:
            live = {one.vm for one in self.members[vm].live()}
            self.assertEqual(live, expected, vm)

    async def test_joins_with_the_store_down(self):
        self.store.down = True
        await self.fleet(9)

    async def test_joins_beyond_full_mesh_with_few_streams(self):
        await self.fleet(40)
        for vm, member in self.members.items():
            self.assertLessEqual(len(member._bus.peers()), 20, vm)
        names = [f"group{n}" for n in range(30)]
        for name in names:
            ranked = {m.watchers(service(name)) for m in self.members.values()}
            self.assertEqual(len(ranked), 1)
            domains = {int(vm[2:]) % 3 for vm in ranked.pop()}
            self.assertEqual(domains, {0, 1, 2})

    async def test_crash_drain_and_leave(self):
        await self.fleet(9)
        self.network.crash("vm03")
        self.members["vm04"].drain()
        await self.members["vm05"].stop()
        self.timer.advance(10.0)
        rest = set(self.members) - {"vm03", "vm04", "vm05"}
        self.assert_agreed(rest)

    async def test_one_way_partition_leaves_every_member_live(self):
        await self.fleet(6)
        for other in ("vm01", "vm02", "vm03", "vm04"):
            self.network.cut("vm00", other)
        self.timer.advance(40.0)
        self.assert_agreed(set(self.members))

    async def test_partition_heals_with_the_store_down(self):
        await self.fleet(8)
        self.store.down = True
        left, right = set(list(self.members)[:4]), set(list(self.members)[4:])
        self.partition(left, right)
        self.timer.advance(60.0)
        self.assert_agreed(left)
        self.assert_agreed(right)
        self.network.heal()
        self.timer.advance(60.0)
        self.assert_agreed(left | right)

    def partition(self, left, right):
        for vm in left:
            for peer in right:
                self.network.cut(vm, peer)
                self.network.cut(peer, vm)

    async def test_groups_keep_watchers_after_the_loss_of_a_failure_domain(self):
        await self.fleet(30)
        lost = {vm for vm in self.members if int(vm[2:]) % 3 == 0}
        for vm in lost:
            self.network.crash(vm)
        self.timer.advance(10.0)
        rest = set(self.members) - lost
        self.assert_agreed(rest)
        for name in (f"group{n}" for n in range(30)):
            ranked = {self.members[vm].watchers(service(name)) for vm in rest}
            self.assertEqual(len(ranked), 1)
            watchers = ranked.pop()
            self.assertLessEqual(set(watchers), rest)
            self.assertEqual({int(vm[2:]) % 3 for vm in watchers}, {1, 2})

    async def test_partitioned_regions_choose_watchers_and_agree_once_healed(self):
        await self.fleet(10)
        self.store.down = True
        left, right = set(list(self.members)[:5]), set(list(self.members)[5:])
        self.partition(left, right)
        self.timer.advance(3600.0)
        for side in (left, right):
            self.assert_agreed(side)
            for vm in side:
                watchers = self.members[vm].watchers(service("group"))
                self.assertLessEqual(set(watchers), side)
        self.network.heal()
        self.timer.advance(60.0)
        self.assert_agreed(left | right)

    async def test_restarted_member_rejoins_with_a_new_incarnation(self):
        await self.fleet(5)
        self.network.crash("vm02")
        await self.join("vm02", "lakeba", incarnation=2)
        self.timer.advance(20.0)
        self.assert_agreed(set(self.members))

    async def test_draining_target_reaches_every_member_in_time(self):
        await self.fleet(30)
        self.members["vm00"].observe_target("t1", leaving=True)
        self.timer.advance(DRAINING_SPREAD_S)
        known = [one.is_target_draining("t1") for one in self.members.values()]
        self.assertTrue(all(known))
        self.members["vm09"].observe_target("t1", leaving=False)
        self.timer.advance(DRAINING_SPREAD_S)
        known = [one.is_target_draining("t1") for one in self.members.values()]
        self.assertFalse(any(known))

    async def test_late_joiner_receives_draining_targets(self):
        await self.fleet(3)
        self.members["vm00"].observe_target("t1", leaving=True)
        self.timer.advance(1.0)
        late = await self.join("vm77", "suva")
        self.timer.advance(DRAINING_SPREAD_S)
        self.assertTrue(late.is_target_draining("t1"))

    async def test_members_without_seeds_join_through_the_vm_list(self):
        for number in range(6):
            bus = VirtualBus(self.network, f"vm{number:02}", "suva")
            member = Membership(
                CFG, self.timer, random.Random(number), bus.identity, bus, self.store
            )
            self.members[bus.vm] = member
        self.store.records = tuple(
            VmRecord(vm, str(one.identity.endpoint), "suva", False)
            for vm, one in self.members.items()
        )
        for member in self.members.values():
            await member.start()
            await member.vms._read_task
        self.timer.advance(20.0)
        self.assert_agreed(set(self.members))


if __name__ == "__main__":
    unittest.main()
