"""Test the decisions of the data path without I/O."""

import asyncio
import random
import types
import unittest

from hypothesis import given
from hypothesis import strategies as st

from rosemaryridge.core import Failure
from rosemaryridge.core import PrimaryHistory
from rosemaryridge.core import StatementError
from rosemaryridge.core import TargetCondition
from rosemaryridge.core import TargetInfo
from rosemaryridge.core import TransactionState
from rosemaryridge.core._admission import Admission
from rosemaryridge.core._admission import IdlePolicy
from rosemaryridge.core._group import Group
from rosemaryridge.core._metrics import MetricsRegistry
from rosemaryridge.core._overload import Overload
from rosemaryridge.core._peer_messages import ClaimsReply
from rosemaryridge.core._peer_messages import ClaimsRequest
from rosemaryridge.core._peer_messages import PositionReply
from rosemaryridge.core._peer_messages import PositionRequest
from rosemaryridge.core._peer_messages import decode
from rosemaryridge.core._peer_messages import encode
from rosemaryridge.core._peers import CLAIMS
from rosemaryridge.core._peers import Peer
from rosemaryridge.core._peers import Peers
from rosemaryridge.core._peers import choose_relays
from rosemaryridge.core._placement import ReadRequirement
from rosemaryridge.core._placement import choose_for_read
from rosemaryridge.core._pool import Pool
from rosemaryridge.core._pool import TurnTooLate
from rosemaryridge.core._proxy_registry import LiveEntries
from rosemaryridge.core._proxy_registry import ProxyRegistry
from rosemaryridge.core._shares import Shares
from rosemaryridge.core._successor import Reason
from rosemaryridge.core._successor import all_lag
from rosemaryridge.core._successor import choose_successor
from rosemaryridge.core._successor import reason_to_replace
from rosemaryridge.core._successor import reason_to_wait
from rosemaryridge.core._target import Target
from rosemaryridge.core.commands import ConnectFailed
from rosemaryridge.core.store import NO_CLAIM
from rosemaryridge.core.store import Claim
from rosemaryridge.core.store import ClaimedTarget
from rosemaryridge.core.store._mirror import WatchDelay
from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.model import Position


class StubLog:
    def __init__(self):
        self.events = []
        self.left_out = 0

    def write(self, event, **fields):
        self.events.append((event, fields))


class StubLink:
    via = ""
    stops_at_failure = False
    state = TransactionState.IDLE

    def __init__(self, business=""):
        self.business = business
        self.closed = False
        self.busy = False

    def close(self):
        self.closed = True


def info(name, zone="a", **fields):
    return TargetInfo(name, "books", Endpoint("10.0.0.1", 1), zone, 3, 1, **fields)


async def connect(_info, _timeout_s, business):
    return StubLink(business)


class GroupCase(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.rng = random.Random(7)

    def group(self, *names):
        group = Group("books", StubLog(), lambda group: None)
        for name in names:
            group.targets[name] = self.target(name)
        return group

    def target(self, name, zone="a"):
        pool = Pool(
            info(name, zone), 4, connect, lambda: None, lambda exc: None, self.rng
        )
        return Target(info(name, zone), pool)


def condition(received, primary=False, term=1, lag_s=0.0):
    return TargetCondition(primary, term, Position(*received), 0, lag_s, 0, 0)


class ClaimsDatagramTest(unittest.IsolatedAsyncioTestCase):
    def test_claims_survive_a_datagram(self):
        claims = {"books": ClaimedTarget(7, 2, "b")}
        for message in (
            ClaimsRequest(3),
            ClaimsReply(3, 0.25, 4, claims),
            ClaimsReply(3, None, None, {}),
        ):
            self.assertEqual(decode(encode(message)), message)

    def test_malformed_claims_are_refused(self):
        for data in (
            b"[3, 0.1, 4]",
            b'[3, -1.0, {"claims": {}}]',
            b'[3, 0.1, {"claims": {"books": 4}}]',
            b"[]",
        ):
            with self.assertRaises((ValueError, TypeError)):
                decode(data)

    async def test_the_claims_of_a_fleet_are_read_by_two_proxies(self):
        peers = [Peer(f"vm-{n}", "abc"[n % 3], Endpoint("h", n)) for n in range(30)]
        readers = []
        for peer in peers:
            bus = Peers(peer.vm, peer.failure_domain, {}, StubLog())
            bus.set_peers(peers)
            if bus._select_relay(CLAIMS) is None:
                readers.append(peer.vm)
        self.assertEqual(len(readers), 2)


class LeadTest(GroupCase):
    async def test_a_new_primary_may_start_with_an_older_position(self):
        group = self.group("a", "b")
        group.record_primary(group.targets["a"], Position(1, 212), 1.0)
        group.record_primary(group.targets["b"], Position(1, 211), 2.0)
        self.assertEqual(group.primary, "b")
        # Reads no longer wait for commits that only the former primary had.
        self.assertEqual(group._history.newest(), (Position(1, 211), 2.0))

    async def test_a_late_answer_of_the_former_primary_is_ignored(self):
        group = self.group("a", "b")
        group.record_primary(group.targets["b"], Position(1, 211), 2.0)
        group.record_primary(group.targets["a"], Position(1, 212), 1.0)
        self.assertEqual(group.primary, "b")

    async def test_a_late_answer_of_an_older_term_is_ignored(self):
        group = self.group("a", "b")
        group.record_primary(group.targets["b"], Position(2, 1), 5.0)
        group.record_primary(group.targets["a"], Position(1, 900), 1.0)
        self.assertEqual(group.primary, "b")

    async def test_a_primary_whose_log_lacks_the_last_term_is_found(self):
        # All commits of term 2 were lost with its primary; the log of the next primary
        # ends in term 1.
        group = self.group("b", "c")
        group.record_primary(group.targets["b"], Position(2, 5), 1.0)
        group.record_not_primary(group.targets["b"])
        group.record_primary(group.targets["c"], Position(1, 167), 5.0)
        self.assertEqual((group.primary, group.term), ("c", 1))
        self.assertEqual(group._history.newest(), (Position(1, 167), 5.0))
        group._search_task.cancel()

    async def test_waiting_statements_are_refused_at_once_if_the_proxy_is_cut_off(self):
        group = self.group()
        loop = asyncio.get_running_loop()
        waiting = asyncio.ensure_future(group.wait_for_primary(loop.time() + 60.0))
        await asyncio.sleep(0)
        group.set_cut_off(True)
        with self.assertRaises(StatementError) as caught:
            await waiting
        self.assertIs(caught.exception.failure, Failure.BUSY)
        self.assertIsNotNone(caught.exception.retry_after_s)
        group._search_task.cancel()


class ReasonTest(GroupCase):
    async def test_reasons_to_replace_a_primary(self):
        group = self.group("a", "b")
        self.assertIs(reason_to_replace(group, 0.0), Reason.NONE)
        group.primary = "a"
        primary = group.targets["a"]
        self.assertIsNone(reason_to_replace(group, 0.0))
        primary.mark_unresponsive(1.0)
        self.assertIs(reason_to_replace(group, 1.0), Reason.UNRESPONSIVE)
        primary.draining = True
        self.assertIs(reason_to_replace(group, 1.0), Reason.DRAINING)
        primary.refused_at = 1.0
        self.assertIs(reason_to_replace(group, 1.0), Reason.REFUSED)
        primary.record_response(2.0)
        primary.draining = False
        self.assertIsNone(reason_to_replace(group, 2.0))

    async def test_an_overloaded_primary_is_replaced_only_if_replicas_lag(self):
        group = self.group("a", "b", "c")
        group.primary = "a"
        for at in (10.0, 10.5):
            group._overload.record_refusal(at)
        self.assertIsNone(reason_to_replace(group, 10.5))
        group.targets["b"].record_missing_position(2.0, 10.5)
        self.assertIs(reason_to_replace(group, 10.5), Reason.OVERLOADED)
        late, soon = condition((1, 9), lag_s=9.0), condition((1, 9), lag_s=0.1)
        self.assertTrue(all_lag({"b": late, "c": late}))
        self.assertFalse(all_lag({"b": late, "c": soon}))

    def successor(self, group, conditions, claim=NO_CLAIM, accept_partial=False):
        decision = choose_successor(group, claim, conditions, accept_partial)
        return decision.target.id if decision.target else None

    async def test_the_replica_with_the_newest_position_is_promoted(self):
        group = self.group("a", "b", "c", "d")
        group.primary = "a"
        group.targets["d"].draining = True
        conditions = {
            "b": condition((1, 10)),
            "c": condition((1, 12)),
            "d": condition((1, 40)),
        }
        self.assertEqual(self.successor(group, conditions), "c")

    async def test_a_single_target_is_promoted_only_if_partial_view_is_accepted(self):
        group = self.group("a", "b", "c")
        group.primary = "a"
        conditions = {"b": condition((1, 10))}
        self.assertIsNone(self.successor(group, conditions))
        self.assertEqual(self.successor(group, conditions, accept_partial=True), "b")

    async def test_a_deposed_primary_with_an_old_log_is_not_promoted(self):
        # A proxy that a network partition had left with only the old primary promoted
        # it again, which rolled back 216 commits. Found on the enlarged kandjimi
        # deployment, run scale-1.
        group = self.group("a", "b", "c")
        group.targets["b"].mark_unresponsive(1.0)
        claim = Claim(1, "vm-1", 1, "b", deposed="a")
        tail = {"a": condition((1, 205), term=2)}
        self.assertIsNone(self.successor(group, tail, claim))
        self.assertIsNone(self.successor(group, tail, claim, accept_partial=True))
        both = tail | {"c": condition((1, 167), term=2)}
        self.assertEqual(self.successor(group, both, claim), "c")
        rejoined = {"a": condition((2, 170)), "c": condition((2, 169))}
        self.assertEqual(self.successor(group, rejoined, claim), "a")

    async def test_a_proxy_that_missed_a_promotion_does_not_order_another(self):
        group = self.group("a", "b", "c", "d")
        group.primary = "a"
        group.targets["a"].draining = True
        claim = Claim(1, "vm-1", 1, "b", deposed="a")
        followers = {n: condition((1, 9), term=2) for n in ("c", "d")}
        decision = choose_successor(group, claim, followers, accept_partial=True)
        self.assertEqual((decision.target, decision.primary.id), (None, "b"))
        group.targets["b"].mark_unresponsive(1.0)
        self.assertEqual(
            self.successor(group, followers, claim, accept_partial=True), "d"
        )

    async def test_a_working_primary_is_not_replaced(self):
        group = self.group("a", "b", "c")
        conditions = {"b": condition((2, 1), True, 2), "c": condition((1, 9))}
        decision = choose_successor(group, NO_CLAIM, conditions)
        self.assertEqual((decision.target, decision.primary.id), (None, "b"))

    async def test_reasons_to_wait_with_a_promotion(self):
        still = {"b": condition((1, 10))}
        self.assertEqual(reason_to_wait(still, still), "")
        self.assertIn("receives", reason_to_wait(still, {"b": condition((1, 11))}))
        self.assertIn(
            "is the primary", reason_to_wait(still, {"b": condition((2, 10), True, 2)})
        )
        self.assertIn("no replica", reason_to_wait(still, {}))

    def test_a_claim_that_cannot_be_decoded_is_no_claim(self):
        for spec in (None, {}, {"fence": "x"}, [], {"fence": 1, "holder": "v"}):
            self.assertEqual(Claim.decode(spec), NO_CLAIM)


class OverloadTest(unittest.TestCase):
    def test_lasting_refusals_are_an_overload(self):
        overload = Overload()
        overload.record_refusal(10.0)
        self.assertFalse(overload.is_lasting(10.0))
        overload.record_refusal(10.2)
        self.assertFalse(overload.is_lasting(10.2))
        overload.record_refusal(10.4)
        self.assertTrue(overload.is_lasting(10.4))
        self.assertFalse(overload.is_lasting(14.0))

    def test_separate_bursts_are_no_overload(self):
        overload = Overload()
        for at in (10.0, 14.0, 18.0):
            overload.record_refusal(at)
            self.assertFalse(overload.is_lasting(at))

    def test_a_new_primary_is_not_replaced_for_overload(self):
        overload = Overload()
        overload.reset(10.0)
        overload.record_refusal(11.0)
        overload.record_refusal(12.0)
        self.assertFalse(overload.is_lasting(12.0))
        for at in range(13, 28):
            overload.record_refusal(float(at))
        self.assertTrue(overload.is_lasting(27.0))


class AdmissionTest(unittest.TestCase):
    def setUp(self):
        self.admission = Admission(4, random.Random(1))

    def test_refusals_lower_the_limit_and_answers_raise_it(self):
        now = 0.0
        for _ in range(10):
            self.admission.record_queue_full(now)
            now += 10.0
        self.assertEqual(self.admission.concurrency_limit, 1)
        for _ in range(400):
            self.admission.record_answer(0.03)
        self.assertEqual(self.admission.concurrency_limit, 4)

    def test_refusals_during_one_pause_count_once(self):
        for _ in range(50):
            self.admission.record_queue_full(0.0)
        self.assertGreater(self.admission.concurrency_limit, 1)

    def test_pauses_grow_while_a_target_stays_full(self):
        pauses, now = [], 0.0
        for _ in range(8):
            self.admission.record_queue_full(now)
            pauses.append(self.admission.paused_s(now))
            now += 10.0
        self.assertGreater(pauses[-1], 4 * pauses[0])
        self.assertLessEqual(max(pauses), 1.5)
        for _ in range(200):
            self.admission.record_answer(0.03)
        self.admission.record_sent(now)
        self.assertEqual(self.admission.paused_s(now), 0.0)

    def test_a_proxy_with_little_load_recovers_soon_after_refusals(self):
        # 8 s after all proxies had restarted, 5% of the statements for targets with
        # free slots were still refused. Found on the enlarged suva deployment, run
        # trouble-1.
        now = 0.0
        for _ in range(10):
            self.admission.record_queue_full(now)
            self.admission.record_answer(0.25)
            now += 0.7
        for _ in range(4):
            self.admission.record_sent(now)
            self.admission.record_answer(0.05)
            now += 1.0
        self.assertLess(self.admission.expected_wait_s(0, now), 0.2)

    def test_many_proxies_do_not_fill_few_slots_with_refusals(self):
        # 139 proxies with unlimited load share 6 slots and a queue of 40; a statement
        # takes 33 ms. Attempts may exceed requests by a tenth and goodput may fall by
        # a tenth.
        rng = random.Random(3)
        proxies = [Admission(2, rng) for _ in range(139)]
        sent = [0] * len(proxies)
        queue, ran, refused, credit = [], 0, 0, 0.0
        for tick in range(8000):
            now = tick * 0.005
            credit = min(6.0, credit + 6 * 0.005 / 0.033)
            while credit >= 1.0 and queue:
                index, sent_at = queue.pop(0)
                sent[index] -= 1
                proxies[index].record_answer(now - sent_at + 0.033)
                credit -= 1.0
                ran += now > 20.0
            for index in rng.sample(range(len(proxies)), len(proxies)):
                admission = proxies[index]
                if (
                    admission.paused_s(now) > 0.0
                    or sent[index] >= admission.concurrency_limit
                ):
                    continue
                admission.record_sent(now)
                if len(queue) >= 46:
                    admission.record_queue_full(now)
                    refused += now > 20.0
                else:
                    queue.append((index, now))
                    sent[index] += 1
        self.assertGreater(ran, 0.9 * 20.0 * 6 / 0.033)
        self.assertLess(refused, 0.1 * ran)

    def test_idle_connections_are_closed_sooner_if_scarce(self):
        keeping = IdlePolicy()
        self.assertGreater(keeping.timeout_for(1), 30.0)
        self.assertLess(keeping.timeout_for(2), 5.0)
        for _ in range(10):
            keeping.record_refusal()
        shortest = keeping.timeout_s
        self.assertLess(shortest, 1.0)
        keeping.record_opened()
        self.assertGreater(keeping.timeout_s, shortest)


class SharesTest(unittest.TestCase):
    def test_shares_fit_beside_the_connections_of_dead_processes(self):
        # 139 proxies that restarted after a power loss opened up to 11 connections each
        # to targets that accept 394, before they were counted. Found on the enlarged
        # suva deployment.
        shares = Shares()
        self.assertEqual(shares.limit_for(394), 1)
        shares.proxy_count = 139
        at_start = shares.limit_for(394)
        shares.just_started = False
        self.assertEqual(shares.limit_for(394), 2)
        self.assertLessEqual(139 * (at_start + 1), 394)

    def test_every_proxy_may_open_one_connection(self):
        shares = Shares()
        shares.proxy_count = 97
        self.assertEqual(shares.limit_for(89), 1)
        self.assertTrue(shares.fewer_than_proxies(89))
        shares.proxy_count = 15
        self.assertFalse(shares.fewer_than_proxies(89))


class PoolTest(GroupCase):
    async def test_the_most_urgent_waiter_is_served_first(self):
        pool = self.target("a").pool
        pool.resize(1)
        end = asyncio.get_running_loop().time() + 5.0
        held = await pool.acquire(1, end)
        late, urgent = (
            asyncio.ensure_future(pool.acquire(priority, end)) for priority in (2, 0)
        )
        await asyncio.sleep(0)
        pool.release(held)
        await asyncio.sleep(0)
        self.assertTrue(urgent.done())
        self.assertFalse(late.done())
        pool.release(urgent.result())
        pool.release(await late)

    async def test_a_wait_beyond_the_deadline_is_refused_at_once(self):
        pool = self.target("a").pool
        now = asyncio.get_running_loop().time()
        pool.admission.record_queue_full(now)
        with self.assertRaises(TurnTooLate):
            await pool.acquire(1, now + 0.01)

    async def test_a_cancelled_waiter_returns_its_connection(self):
        pool = self.target("a").pool
        pool.resize(1)
        loop = asyncio.get_running_loop()
        held = await pool.acquire(1, loop.time() + 1.0)
        waiting = asyncio.ensure_future(pool.acquire(1, loop.time() + 1.0))
        await asyncio.sleep(0)
        pool.release(held)
        waiting.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await waiting
        self.assertEqual((pool.in_use, pool.free), (0, 1))

    async def test_a_connection_with_an_outstanding_answer_is_closed(self):
        pool = self.target("a").pool
        end = asyncio.get_running_loop().time() + 1.0
        link = await pool.acquire(1, end)
        link.busy = True
        pool.release(link)
        self.assertTrue(link.closed)

    async def test_a_connection_with_an_open_transaction_is_closed(self):
        for state in (TransactionState.OPEN, TransactionState.FAILED):
            pool = self.target("a").pool
            end = asyncio.get_running_loop().time() + 1.0
            link = await pool.acquire(1, end)
            link.state = state
            pool.release(link)
            self.assertTrue(link.closed)
            self.assertIsNot(await pool.acquire(1, end), link)

    async def test_a_full_target_shortens_the_idle_time(self):
        async def refuse(_info, _timeout_s, _business):
            raise ConnectFailed("too many", full=True)

        pool = Pool(info("a"), 2, refuse, lambda: None, lambda exc: None, self.rng)
        before = pool.idle_policy.timeout_s
        pool.warm()
        await asyncio.sleep(0.01)
        self.assertLess(pool.idle_policy.timeout_s, before)


class PlacementTest(GroupCase):
    def choose(self, targets, need, tried=(), primary="a"):
        rng = random.Random(1)
        found = choose_for_read(targets, primary, need, "z1", tried, 100.0, rng)
        return found.id if found else None

    async def test_a_replica_in_the_same_failure_domain_is_preferred(self):
        targets = [
            self.target("a", "z2"),
            self.target("b", "z2"),
            self.target("c", "z1"),
        ]
        need = ReadRequirement(Position(1, 5), 1.0)
        self.assertEqual(self.choose(targets, need), "c")
        self.assertEqual(self.choose(targets, need, {"c"}), "b")
        self.assertIsNone(self.choose(targets, need, {"a", "b", "c"}))

    async def test_a_replica_that_lacked_the_position_is_skipped_for_a_moment(self):
        targets = [self.target("a", "z2"), self.target("c", "z1")]
        need = ReadRequirement(Position(1, 5), 1.0)
        targets[1].record_missing_position(1.0, now=100.0)
        self.assertEqual(self.choose(targets, need), "a")
        self.assertIsNone(self.choose(targets, need, {"a"}))
        targets[1].record_held_position(2.0, Position(1, 6))
        self.assertEqual(self.choose(targets, need), "c")

    async def test_a_draining_or_unresponsive_target_is_avoided(self):
        targets = [
            self.target("a", "z2"),
            self.target("b", "z1"),
            self.target("c", "z1"),
        ]
        targets[1].draining = True
        targets[2].mark_unresponsive(99.0)
        self.assertEqual(self.choose(targets, ReadRequirement(Position(), 1.0)), "a")


class HistoryTest(unittest.TestCase):
    @given(
        st.lists(
            st.tuples(st.floats(0, 5), st.integers(0, 3)), min_size=1, max_size=60
        ),
        st.floats(0, 60),
    )
    def test_a_minimum_position_is_never_older_than_requested(self, steps, since):
        history, time, number = PrimaryHistory(), 0.0, 0
        observed = []
        for gap, commits in steps:
            time, number = time + gap, number + commits
            history.observe(Position(1, number), time)
            observed.append((time, number))
        found = history.position_since(since)
        if found is None:
            self.assertLess(time, since)
            return
        position, requested_at = found
        self.assertGreaterEqual(requested_at, since)
        # The minimum position covers all commits up to the requested time.
        before = [number for at, number in observed if at <= since]
        self.assertGreaterEqual(position.lsn, max(before, default=0))


class PeersTest(unittest.TestCase):
    def peers(self, count, zone="z1"):
        return [Peer(f"vm-{n}", zone, Endpoint("10.0.0.1", n)) for n in range(count)]

    def test_every_proxy_computes_the_same_relays(self):
        peers = self.peers(9) + self.peers(9, "z2")
        self.assertEqual(
            choose_relays("books", peers, "z1"),
            choose_relays("books", peers[::-1], "z1"),
        )
        self.assertEqual(
            {p.failure_domain for p in choose_relays("books", peers, "z1")}, {"z1"}
        )

    def test_relays_differ_between_groups(self):
        peers = self.peers(30)
        first = {choose_relays(f"service-{n}", peers, "z1")[0].vm for n in range(40)}
        self.assertGreater(len(first), 10)

    def test_messages_round_trip(self):
        for message in (PositionRequest(7, "books"), PositionReply(7, 3, 1207, 0.25)):
            self.assertEqual(decode(encode(message)), message)

    @given(st.binary(max_size=40))
    def test_any_datagram_is_decoded_or_refused(self, data):
        try:
            decode(data)
        except (ValueError, TypeError):
            pass

    def test_a_negative_age_is_refused(self):
        for data in (b"[1, 2, 3, -0.5]", b"[1, 2, 3, NaN]"):
            with self.assertRaises(ValueError):
                decode(data)


class WatchDelayTest(unittest.TestCase):
    def test_delay_grows_while_changes_keep_coming(self):
        delay = WatchDelay(3.0)
        self.assertEqual(delay.next_s(10.0), 1.0)
        self.assertEqual(delay.next_s(11.2), 2.0)
        self.assertEqual(delay.next_s(13.9), 3.0)
        self.assertEqual(delay.next_s(17.0), 3.0)

    def test_delay_stays_short_for_single_changes(self):
        delay = WatchDelay(3.0)
        for at in (10.0, 13.0, 16.0):
            self.assertEqual(delay.next_s(at), 1.0)


class LiveEntriesTest(unittest.TestCase):
    def test_entries_that_are_not_renewed_expire(self):
        live = LiveEntries()
        self.assertEqual(live.update({"a": 1, "b": 2}, 0.0), {"a", "b"})
        self.assertEqual(live.update({"a": 9, "b": 2}, 170.0), {"a", "b"})
        self.assertEqual(live.update({"a": 9, "b": 2}, 200.0), {"a"})
        self.assertEqual(live.update({"b": 3}, 210.0), {"b"})


class StubStore:
    def __init__(self, *faults, registered=False):
        self.calls = []
        self.registered = registered
        self._faults = list(faults)

    async def put(self, kind, name, spec, revision):
        self.calls.append("put")
        if self._faults:
            raise self._faults.pop(0)
        return 1

    async def get(self, kind, name, stale=False):
        self.calls.append("get")

    async def list(self, kind, stale=False):
        self.calls.append("list")
        names = ("vm-1", "vm-2") if self.registered else ()
        objects = [types.SimpleNamespace(name=n, revision=1, spec={}) for n in names]
        return types.SimpleNamespace(objects=objects)


class ProxyRegistryTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.counts = []

    def registry(self, store):
        return ProxyRegistry(
            "vm-1", store, self.counts.append, StubLog(), random.Random(1)
        )

    async def test_proxies_are_listed_at_once_and_again_soon(self):
        registry = self.registry(StubStore())
        first = await registry._renew_and_list()
        self.assertEqual(len(self.counts), 1)
        self.assertGreater(await registry._renew_and_list(), 5 * first)

    async def run_registry(self, store):
        task = asyncio.create_task(self.registry(store).run())
        await asyncio.sleep(0.01)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def test_a_process_that_starts_again_knows_the_others_before_it_registers(
        self,
    ):
        # After a loss of all power, 139 proxies opened a connection each to targets
        # that accept 51, since they did not know each other yet.
        store = StubStore(StoreUnavailable("slow"), registered=True)
        await self.run_registry(store)
        self.assertEqual(store.calls[:2], ["list", "put"])
        self.assertEqual([len(listed) for listed in self.counts], [2])

    async def test_a_first_start_counts_nobody_before_it_registers(self):
        store = StubStore(StoreUnavailable("slow"))
        await self.run_registry(store)
        self.assertEqual(self.counts, [])

    async def test_a_failed_registration_is_retried_as_a_first_one(self):
        store = StubStore(StoreUnavailable("away"), StoreConflict("there"))
        registry = self.registry(store)
        with self.assertRaises(StoreUnavailable):
            await registry._renew_and_list()
        await registry._renew_and_list()
        self.assertEqual(store.calls, ["put", "put", "list"])


class TallyTest(unittest.TestCase):
    def test_counters_and_histograms_are_rendered(self):
        tally = MetricsRegistry()
        tally.inc("statements_total", verb="read", outcome="done")
        tally.observe("statement_seconds", 0.03, verb="read")
        tally.observe("statement_seconds", 9.0, verb="read")
        tally.add_gauges(lambda: [("proxies", (), 3)])
        text = tally.render().decode()
        prefix = "rosemaryridge_entry_"
        self.assertIn(f'{prefix}statements_total{{verb="read",outcome="done"}} 1', text)
        self.assertIn(
            f'{prefix}statement_seconds_bucket{{verb="read",le="0.05"}} 1', text
        )
        self.assertIn(
            f'{prefix}statement_seconds_bucket{{verb="read",le="+Inf"}} 2', text
        )
        self.assertIn(f"{prefix}proxies 3", text)
