import asyncio
import contextlib
import itertools
import unittest
from unittest import mock

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from rosemaryridge.core import TargetInfo
from rosemaryridge.core import TargetLost
from rosemaryridge.core import _pool
from rosemaryridge.core.commands import Begin
from rosemaryridge.core.commands import Rollback
from rosemaryridge.core.commands import Urgency
from rosemaryridge.core.owners import _streams
from rosemaryridge.core.owners import connection_limit
from rosemaryridge.core.owners import connects_directly
from rosemaryridge.core.owners import direct_share
from rosemaryridge.core.owners import rank_owners
from rosemaryridge.core.owners._links import OwnedLink
from rosemaryridge.core.owners._messages import AnswerFrame
from rosemaryridge.core.owners._messages import Batch
from rosemaryridge.core.owners._messages import BeginStep
from rosemaryridge.core.owners._messages import Done
from rosemaryridge.core.owners._messages import FrameReader
from rosemaryridge.core.owners._messages import Hello
from rosemaryridge.core.owners._messages import MalformedFrame
from rosemaryridge.core.owners._messages import NotRun
from rosemaryridge.core.owners._messages import Place
from rosemaryridge.core.owners._messages import RollbackStep
from rosemaryridge.core.owners._messages import RunStep
from rosemaryridge.core.owners._messages import encode
from rosemaryridge.core.owners._queue import Refused
from rosemaryridge.core.owners._queue import TurnQueue
from rosemaryridge.core.owners._reachability import Reachability
from rosemaryridge.core.owners._streams import OwnerStream
from rosemaryridge.core.owners._streams import SenderStream
from rosemaryridge.core.owners._targets import OwnedTargets
from rosemaryridge.model import Endpoint
from rosemaryridge_testbed.experiments._owners import measure
from rosemaryridge_testbed.schedules import OWNED_OPTIONS
from rosemaryridge_testbed.schedules import explore

_SIZES = (3, 15, 18, 21, 33, 97, 139, 195, 300, 910)
_CONNECTIONS = (1, 2, 36, 45, 51, 89, 112, 140, 394, 2000)


class PolicyTest(unittest.TestCase):
    def test_a_target_with_room_for_all_is_reached_directly(self):
        self.assertEqual(direct_share(45, 15), 1.0)
        self.assertEqual(direct_share(36, 18), 1.0)
        self.assertEqual(direct_share(51, 139), 0.0)

    def test_the_share_changes_continuously_with_the_size(self):
        # Guards against a cliff: one more proxy must not move many to owners.
        for connections in _CONNECTIONS:
            for proxies in range(1, 911):
                change = direct_share(connections, proxies) - direct_share(
                    connections, proxies + 1
                )
                self.assertGreaterEqual(change, 0.0)
                self.assertLessEqual(change * proxies, 3.0)

    def test_the_share_of_proxies_that_connects_directly_is_met(self):
        for share in (0.0, 0.25, 0.5, 1.0):
            direct = sum(connects_directly(f"vm-{n}", "t1", share) for n in range(910))
            self.assertAlmostEqual(direct / 910, share, delta=0.06)

    def test_two_owners_stay_within_the_limit(self):
        # Lists of proxies differ for seconds after a change.
        for connections in (*_CONNECTIONS[2:], 20):
            owner = connection_limit(connections, 0, False)
            reserve = connection_limit(connections, 1, False)
            self.assertLessEqual(2 * owner, 0.9 * connections)
            self.assertLessEqual(owner + reserve, 0.9 * connections)
            self.assertEqual(connection_limit(connections, 2, False), 0)

    def test_an_owner_that_starts_leaves_room_for_connections_of_the_dead(self):
        self.assertLessEqual(2 * connection_limit(51, 0, True), 51 * 0.45 + 1)

    def test_a_proxy_that_leaves_changes_the_owner_of_its_own_targets_only(self):
        for proxies in _SIZES:
            weights = {f"vm-{n}": 1.0 + n % 3 for n in range(proxies)}
            gone = rank_owners("t0", weights)[0]
            rest = {vm: weight for vm, weight in weights.items() if vm != gone}
            for target in (f"t{n}" for n in range(60)):
                owner, reserve = rank_owners(target, weights)
                after = rank_owners(target, rest)[0]
                self.assertEqual(after, reserve if owner == gone else owner)

    def test_large_machines_own_more_targets(self):
        weights = {f"large-{n}": 1.2 for n in range(2)}
        weights |= {f"small-{n}": 0.055 for n in range(22)}
        owned = [rank_owners(f"t{n}", weights)[0] for n in range(400)]
        large = sum(owner.startswith("large") for owner in owned)
        self.assertAlmostEqual(large / 400, 2.4 / 3.61, delta=0.1)


class TurnQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = TurnQueue(2)

    def offer(self, item, priority=1, aim=9.0, deadline=None, now=0.0, **fields):
        urgency = Urgency(priority, aim, deadline or aim, **fields)
        return self.queue.offer(item, urgency, now)

    def fill(self):
        for _ in range(3):
            self.assertTrue(self.offer("running"))

    def fill_queue(self, **fields):
        """Offer statements until one is refused; return the accepted."""
        accepted = []
        with contextlib.suppress(Refused):
            for number in range(1000):
                self.offer(number, **fields)
                accepted.append(number)
        return accepted

    def drain(self, now=0.1):
        order = []
        while self.queue.waiting:
            self.queue.leave(0.01)
            order += self.queue.next(now)[0]
        return order

    def test_the_most_urgent_then_the_one_with_least_time_is_next(self):
        self.fill()
        self.offer("late", 2, 5.0)
        self.offer("early", 2, 3.0)
        self.offer("urgent", 1, 9.0)
        self.assertEqual(self.drain(), ["urgent", "early", "late"])

    def test_a_turn_that_comes_too_late_is_refused_at_once(self):
        # A statement was held for 0.8 s, until its route's time was up.
        self.fill()
        accepted = self.fill_queue(aim=0.8)
        self.assertGreater(len(accepted), 20)
        with self.assertRaises(Refused) as caught:
            self.offer("late", aim=0.8)
        self.assertAlmostEqual(caught.exception.wait_s, 0.8, delta=0.05)

    def test_what_has_waited_past_its_deadline_is_not_run(self):
        self.fill()
        self.offer("expired", 1, 0.5)
        self.offer("waiting", 2, 0.9)
        self.queue.leave(0.01)
        self.assertEqual(self.queue.next(0.6), (["waiting"], ["expired"]))

    def test_an_accepted_statement_keeps_its_turn(self):
        # Newcomers with little time left pushed others past their deadlines, so that
        # an overloaded target served hardly anything in time.
        self.fill()
        accepted = self.fill_queue(priority=2, aim=0.8)
        with self.assertRaises(Refused):
            self.offer("hasty", 2, 0.4)
        self.assertEqual(self.queue.take_shed(), [])
        self.assertEqual(self.queue.waiting, len(accepted))

    def test_what_misses_its_aim_waits_behind_what_meets_it(self):
        # An overloaded queue answered each statement shortly before its deadline, all
        # of them beyond their aims.
        self.fill()
        in_aim = self.fill_queue(priority=2, aim=0.8, accepts_late=False)
        self.offer("late", 2, 0.8, 1.2)
        self.assertEqual(self.drain()[-1], "late")
        self.assertGreater(len(in_aim), 20)

    def test_late_statements_are_refused_at_once_while_an_overload_lasts(self):
        # They were held to their end, since what met its aim took every turn.
        self.fill()
        for number in range(70):
            if number == 50:
                self.offer("late", 2, 0.0001, 0.45)
            self.offer(number, 2, 5.0)
        self.assertEqual(self.queue.take_shed(), ["late"])
        with self.assertRaises(Refused):
            self.offer("later", 2, 0.0001, 5.0, now=0.1)
        self.assertFalse(self.offer("later", 2, 0.0001, 5.0, now=0.7))

    def test_an_urgent_statement_makes_less_urgent_ones_late_or_sheds_them(self):
        self.fill()
        accepted = self.fill_queue(priority=2, aim=0.8, accepts_late=False)
        self.offer("urgent", 1, 0.8)
        self.assertEqual(self.queue.take_shed(), accepted[-1:])
        self.assertEqual(self.drain()[0], "urgent")

    def test_a_withdrawn_statement_gets_no_turn(self):
        self.fill()
        self.offer("withdrawn", 1, 0.5)
        self.queue.withdraw("withdrawn")
        self.queue.leave(0.01)
        self.assertEqual(self.queue.next(0.1), ([], []))

    def test_the_wait_follows_the_rate_of_turns(self):
        self.fill()
        for number in range(40):
            self.offer(number, 1, 100.0)
        before = self.queue.expected_wait_s(10)
        for turn in range(30):
            self.queue.leave(0.2)
            self.queue.next(0.1 * turn)
        self.assertGreater(self.queue.expected_wait_s(10), 5 * before)

    def test_a_target_that_stood_still_is_used_again(self):
        # A long interval must not refuse everything for good: without waiting
        # statements no turn would ever correct it.
        self.fill()
        for number in range(20):
            self.offer(number, 1, 100.0)
        for turn in range(20):
            self.queue.leave(2.0)
            self.queue.next(2.0 * turn)
        now = 60.0
        self.queue.leave(0.01)
        self.queue.leave(0.01)
        for _ in range(100):
            self.offer("x", 1, now + 0.8, now=now)
            self.queue.leave(0.01)
            now += 0.01
        while self.queue.running < self.queue.limit:
            self.offer("x", 1, now + 0.8, now=now)
        self.assertFalse(self.offer("next", 1, now + 0.8, now=now))

    @given(st.lists(st.sampled_from(["offer", "leave", "withdraw"]), max_size=60))
    @settings(max_examples=100, deadline=None)
    def test_every_statement_runs_at_most_once(self, steps):
        self.setUp()
        numbers, running, ended, now = itertools.count(), [], set(), 0.0
        for step in steps:
            now += 0.01
            if step == "offer":
                number = next(numbers)
                aim = now + 0.1 * (number % 4)
                try:
                    if self.offer(number, number % 3, aim, now + 0.3, now):
                        running.append(number)
                except Refused:
                    ended.add(number)
                ended |= set(self.queue.take_shed())
            elif step == "leave" and running:
                ended.add(running.pop(0))
                self.queue.leave(0.01)
                granted, expired = self.queue.next(now)
                self.assertFalse(set(granted + expired) & (ended | set(running)))
                running += granted
                ended |= set(expired)
            elif step == "withdraw":
                self.queue.withdraw(0)
            self.assertEqual(self.queue.running, len(running))
            # Twice the slots, and one.
            self.assertLessEqual(self.queue.running, 5)


def make_batch(**fields):
    values = {
        "link": 1,
        "number": 7,
        "place": 0,
        "priority": 1,
        "sent_ms": 11_900,
        "aim_ms": 400,
        "deadline_ms": 800,
        "accepts_late": True,
        "values": {b"a": b"1"},
        "steps": (
            BeginStep(False, (1, 20)),
            RunStep(b"id", 1, b"1 data", True, None, b"q"),
            RollbackStep(),
        ),
    }
    return Batch(**(values | fields))


class FrameTest(unittest.TestCase):
    def test_frames_survive_any_division_of_the_bytes(self):
        frames = [make_batch(), Hello(1, "vm", 3_000), make_batch(number=8)]
        data = b"".join(map(encode, frames))
        for size in (1, 7, len(data)):
            reader, found = FrameReader.of_owner(), []
            for start in range(0, len(data), size):
                found += reader.feed(data[start : start + size])
            self.assertEqual(found, frames)

    def test_replies_survive(self):
        answer = AnswerFrame(b"s", 0, (1, 2), (b"row",))
        for frame in (Done(7, (answer,)), NotRun(7, "full", 0.3)):
            self.assertEqual(FrameReader.of_sender().feed(encode(frame)), [frame])

    def test_a_frame_beyond_the_limit_is_refused(self):
        with self.assertRaises(MalformedFrame):
            FrameReader.of_owner().feed(b"\x7f\xff\xff\xff")


class StubTransport:
    def __init__(self):
        self.aborted = False
        self.written = b""

    def write(self, data):
        self.written += data

    def abort(self):
        self.aborted = True

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        return None


class StubOwnedTargets:
    def __init__(self):
        self.served = []
        self.closed = []

    def serve(self, sink, place, batch, offset_s):
        deadline = (batch.sent_ms + batch.deadline_ms) / 1000 + offset_s
        self.served.append((batch, deadline))

    def close_link(self, sink, link):
        self.closed.append(link)

    def close_links_of(self, sink):
        pass


class OwnerStreamTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        patch = mock.patch.object(_streams, "boottime", lambda: self.now)
        patch.start()
        self.addCleanup(patch.stop)
        self.owned = StubOwnedTargets()
        self.transport = StubTransport()
        self.stream = OwnerStream(
            self.owned, lambda: False, lambda _: None, lambda _, reason: None
        )
        self.stream.connection_made(self.transport)

    @given(st.binary(max_size=300))
    @settings(max_examples=200, deadline=None)
    def test_any_bytes_end_at_most_their_stream(self, data):
        self.setUp()
        self.stream.data_received(len(data).to_bytes(4) + data)
        self.assertTrue(self.transport.aborted)

    def test_a_batch_that_is_read_late_keeps_its_deadline(self):
        # An owner that was suspended must not run what its sender has given up.
        self.stream.data_received(encode(Hello(1, "vm", 40_000)))
        self.now = 109.0
        batch = make_batch(sent_ms=41_000, deadline_ms=800)
        self.stream.data_received(encode(Place(0, "books", "t1", "")))
        self.stream.data_received(encode(batch))
        _, deadline = self.owned.served[0]
        self.assertAlmostEqual(deadline, 101.8)
        self.assertLess(deadline, self.now)


class SenderStreamTest(unittest.IsolatedAsyncioTestCase):
    async def test_what_is_outstanding_at_the_end_may_have_run(self):
        stream = SenderStream("vm", lambda *_: None)
        with mock.patch.object(stream, "_send"):
            fut = stream.send_batch(lambda number: make_batch(number=number))
        stream.end("reset")
        with self.assertRaises(TargetLost) as caught:
            await fut
        self.assertTrue(caught.exception.sent)

    async def test_what_follows_the_end_is_not_sent(self):
        stream = SenderStream("vm", lambda *_: None)
        stream.end("reset")
        with self.assertRaises(TargetLost) as caught:
            await stream.send_batch(lambda number: make_batch(number=number))
        self.assertFalse(caught.exception.sent)

    async def test_a_silent_owner_is_noticed(self):
        ended = []
        stream = _streams.RemoteStream(
            "vm", "own", lambda stream, reason: ended.append(reason)
        )
        stream.connection_made(StubTransport())
        fut = stream.send_batch(lambda number: make_batch(number=number))
        with self.assertRaises(TargetLost):
            await asyncio.wait_for(fut, 1.0)
        self.assertEqual(ended, ["the owner is silent"])


class OwnedLinkTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_probe_does_not_inherit_the_deadline_of_a_statement(self):
        # Probes on a link that a statement had used were refused as too late, so that
        # proxies knew no recent position.
        stream = SenderStream("vm", lambda *_: None)
        sent = []
        info = TargetInfo("t1", "books", Endpoint("127.0.0.1", 1), "a", 2, 1)
        now = asyncio.get_running_loop().time()
        with mock.patch.object(stream, "_send", sent.append):
            link = OwnedLink(info, "", stream, 0.0, Reachability())
            link.urgency = Urgency(1, now - 5.0, now - 5.0)
            link.send(Rollback())
            link.send(Begin(), Rollback())
        _, statement, probe = sent
        self.assertLess(statement.deadline_ms, 0)
        self.assertGreater(probe.deadline_ms, 0)


class LoadTest(unittest.TestCase):
    """139 proxies before 51 connections and 2 slots, at 0.4 of their capacity."""

    def test_owners_serve_all_in_time_and_open_few_connections(self):
        for row in measure(1, owned=True):
            with self.subTest(row["kind"]):
                self.assertGreaterEqual(row["in aim %"], 99.5)
                self.assertLess(row["openings %"], 10.0)
                self.assertLess(row["turned away %"], 0.2)

    def test_direct_connections_do_not(self):
        rows = measure(1, owned=False)
        self.assertGreater(rows[0]["openings %"], 50.0)
        self.assertLess(min(row["in aim %"] for row in rows), 99.5)


class OwnerScheduleTest(unittest.TestCase):
    """Promises hold while owners are killed, cut off, slow, and reserves serve."""

    def violations(self, seeds=range(1, 25)):
        results = [explore(seed, OWNED_OPTIONS) for seed in seeds]
        return {res.seed: dict(res.violations) for res in results if res.violations}

    def test_no_schedule_breaks_a_promise(self):
        self.assertEqual(self.violations(), {})

    def test_schedules_use_owners_and_kill_them(self):
        results = [explore(seed, OWNED_OPTIONS) for seed in range(1, 9)]
        self.assertGreater(sum(result.acknowledged for result in results), 500)
        self.assertGreater(sum(result.owned_links for result in results), 200)
        self.assertGreater(sum(result.kills for result in results), 1)

    def assert_found(self, *kinds, first=1):
        found = self.violations(range(first, first + 40))
        self.assertTrue(any(counts.keys() & kinds for counts in found.values()), found)

    def test_a_statement_sent_again_after_a_lost_answer_is_found(self):
        def forget(reason, *, sent=True):
            return TargetLost(reason, sent=False)

        # It runs twice, or is reported as not run.
        with mock.patch.object(_streams, "TargetLost", forget):
            self.assert_found("twice", "refused")

    def test_a_statement_that_runs_after_its_caller_has_left_is_found(self):
        def keep(stream, sent_ms):
            return 1000.0

        with (
            mock.patch.object(OwnerStream, "_update_offset", keep),
            mock.patch.object(OwnedTargets, "close_link", lambda *_: None),
        ):
            # About one schedule of 40 lets such a statement run; three of these do.
            self.assert_found("late", first=61)

    def test_a_transaction_that_goes_on_on_another_connection_is_found(self):
        def release(owners, channel, owned):
            owned.pool.release(channel.connection, pinned=True)
            channel.connection = None

        # The pool takes no such connection back either.
        with (
            mock.patch.object(OwnedTargets, "_keep_or_release", release),
            mock.patch.object(_pool, "is_reusable", lambda link: not link.closed),
        ):
            self.assert_found("lost")
            self.assert_found("refused")


if __name__ == "__main__":
    unittest.main()
