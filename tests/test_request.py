"""Test the outcome of a request at every cut point."""

import unittest

import hypothesis
from hypothesis import strategies as st

from rosemaryridge import codes
from rosemaryridge.config import Priority
from rosemaryridge.config import RequestRule
from rosemaryridge.config import ServiceConfig
from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Outcome
from rosemaryridge.request import Answered
from rosemaryridge.request import CancelAsked
from rosemaryridge.request import CancelTarget
from rosemaryridge.request import Confirm
from rosemaryridge.request import Confirmed
from rosemaryridge.request import ConfirmFailed
from rosemaryridge.request import DeadlinePassed
from rosemaryridge.request import Delivered
from rosemaryridge.request import Failed
from rosemaryridge.request import Finish
from rosemaryridge.request import Lost
from rosemaryridge.request import Refused
from rosemaryridge.request import Replaced
from rosemaryridge.request import Request
from rosemaryridge.request import RequestKind
from rosemaryridge.request import RequestOptions
from rosemaryridge.request import Retry
from rosemaryridge.request import Sent
from rosemaryridge.request import ServicePolicy
from rosemaryridge.request import show_option
from rosemaryridge.request import with_option
from rosemaryridge.request import without_option

SENT = Sent("a", True)
ON_REPLICA = Sent("b", False)


def end(kind, *events, **options):
    """Return the last effect of a request that took in some events."""
    request = Request(kind, **options)
    effect = None
    for event in events:
        effect = request.on_event(event)
    return effect


class TestCutPoints(unittest.TestCase):
    def outcome(self, effect, outcome, code=None):
        self.assertIsInstance(effect, Finish)
        self.assertEqual((effect.outcome, effect.code), (outcome, code))

    def test_write_lost(self):
        write = RequestKind.WRITE
        self.assertIsInstance(end(write, Lost()), Retry)
        lost = end(write, SENT, Lost())
        self.outcome(lost, Outcome.UNKNOWN, codes.request.CONNECTION_LOST)
        late = end(write, SENT, Answered(), ConfirmFailed(codes.group.ACK_TIMEOUT))
        self.outcome(late, Outcome.UNKNOWN, codes.group.ACK_TIMEOUT)
        done = end(write, SENT, Answered(), Confirmed())
        self.outcome(done, Outcome.DONE)

    def test_write_is_answered_only_once_confirmed(self):
        self.assertIsInstance(end(RequestKind.WRITE, SENT, Answered()), Confirm)

    def test_write_at_the_deadline(self):
        write = RequestKind.WRITE
        waiting = end(write, DeadlinePassed())
        self.outcome(waiting, Outcome.NOT_RUN, codes.limits.DEADLINE_IN_QUEUE)
        sent = end(write, SENT, DeadlinePassed())
        self.outcome(sent, Outcome.UNKNOWN, codes.request.DEADLINE_PASSED)
        answered = end(write, SENT, Answered(), DeadlinePassed())
        self.outcome(answered, Outcome.UNKNOWN, codes.group.ACK_TIMEOUT)

    def test_target_error_means_not_run(self):
        self.outcome(end(RequestKind.WRITE, SENT, Failed("23505")), Outcome.NOT_RUN)

    def test_fenced_write_may_go_to_the_new_primary(self):
        self.assertIsInstance(end(RequestKind.WRITE, SENT, Failed("25006")), Retry)

    def test_terminated_backend_leaves_a_write_unknown(self):
        for sqlstate in ("57P01", "08006", "40003"):
            effect = end(RequestKind.WRITE, SENT, Failed(sqlstate))
            self.outcome(effect, Outcome.UNKNOWN, codes.request.CONNECTION_LOST)

    def test_commit(self):
        commit = RequestKind.COMMIT
        before = end(commit, Lost())
        self.outcome(before, Outcome.NOT_RUN, codes.request.TRANSACTION_LOST)
        after = end(commit, SENT, Lost())
        self.outcome(after, Outcome.UNKNOWN, codes.request.CONNECTION_LOST)
        self.outcome(end(commit, SENT, Failed("23503")), Outcome.NOT_RUN)

    def test_in_transaction(self):
        inside = RequestKind.IN_TRANSACTION
        for events in ((Lost(),), (SENT, Lost()), (SENT, DeadlinePassed())):
            effect = end(inside, *events)
            self.outcome(effect, Outcome.NOT_RUN, codes.request.TRANSACTION_LOST)

    def test_read(self):
        read = RequestKind.READ
        self.assertIsInstance(end(read, ON_REPLICA, Lost()), Retry)
        self.outcome(end(read, ON_REPLICA, Answered()), Outcome.DONE)
        self.assertIsInstance(end(read, SENT, Answered()), Confirm)
        partly = end(read, ON_REPLICA, Answered(False), Delivered(), Lost())
        self.outcome(partly, Outcome.NOT_RUN, codes.request.READ_FAILED)
        failed = ConfirmFailed(codes.group.ACK_TIMEOUT)
        self.assertIsInstance(end(read, SENT, Answered(), failed), Retry)
        self.assertIsInstance(end(read, ON_REPLICA, Failed("40001")), Retry)

    def test_primary_replaced(self):
        write, commit = RequestKind.WRITE, RequestKind.COMMIT
        for kind in (write, commit):
            sent = end(kind, SENT, Replaced())
            self.outcome(sent, Outcome.UNKNOWN, codes.group.PRIMARY_REPLACED)
            answered = end(kind, SENT, Answered(), Replaced())
            self.outcome(answered, Outcome.UNKNOWN, codes.group.PRIMARY_REPLACED)
        self.assertIsInstance(end(write, Replaced()), Retry)
        self.assertIsInstance(end(write, SENT, Replaced(), idempotent=True), Retry)
        before = end(commit, Replaced())
        self.outcome(before, Outcome.NOT_RUN, codes.request.TRANSACTION_LOST)
        for events in ((Replaced(),), (SENT, Replaced())):
            inside = end(RequestKind.IN_TRANSACTION, *events)
            self.outcome(inside, Outcome.NOT_RUN, codes.request.TRANSACTION_LOST)

    def test_primary_replaced_under_a_read(self):
        read = RequestKind.READ
        self.assertIsInstance(end(read, SENT, Replaced()), Retry)
        streamed = (SENT, Answered(False), Confirmed(), Delivered(), Replaced())
        partly = end(read, *streamed)
        self.outcome(partly, Outcome.NOT_RUN, codes.request.READ_FAILED)
        cancelled = end(read, SENT, CancelAsked(), Replaced())
        code = codes.request.CANCELED_NOT_SENT
        self.outcome(cancelled, Outcome.NOT_RUN, code)

    def test_idempotent_write_stays_unknown_when_it_cannot_be_repeated(self):
        write = RequestKind.WRITE
        budget = Refused(codes.limits.RETRY_BUDGET_SPENT)
        effect = end(write, SENT, Lost(), budget, idempotent=True)
        self.outcome(effect, Outcome.UNKNOWN, codes.request.CONNECTION_LOST)
        effect = end(write, SENT, Lost(), SENT, Failed("23505"), idempotent=True)
        self.outcome(effect, Outcome.UNKNOWN)

    def test_cancel(self):
        write = RequestKind.WRITE
        effect = end(write, CancelAsked())
        self.outcome(effect, Outcome.NOT_RUN, codes.request.CANCELED_NOT_SENT)
        self.assertIsInstance(end(write, SENT, CancelAsked()), CancelTarget)
        stopped = end(write, SENT, CancelAsked(), Failed("57014"))
        self.outcome(stopped, Outcome.NOT_RUN)
        too_late = end(write, SENT, CancelAsked(), Answered(), Confirmed())
        self.outcome(too_late, Outcome.DONE)


EVENTS = st.one_of(
    st.sampled_from((SENT, ON_REPLICA, Delivered(), Answered(), Answered(False))),
    st.sampled_from((Lost(), DeadlinePassed(), Confirmed(), CancelAsked())),
    st.just(Replaced()),
    st.sampled_from(("23505", "25006", "57P01", "40001", "57014")).map(Failed),
    st.just(ConfirmFailed(codes.group.ACK_TIMEOUT)),
    st.just(Refused(codes.limits.QUEUE_FULL)),
)


_MAY_HAVE_RUN = (Lost, Replaced, Answered, DeadlinePassed, Failed)


class Target:
    """Know whether a write may have taken effect, apart from the request."""

    def __init__(self):
        self.open = False
        self.may_have_run = False

    def on_event(self, event):
        if isinstance(event, Sent):
            self.open = True
        elif isinstance(event, Failed) and not event.sqlstate.startswith("57P"):
            self.open = False
        elif self.open and isinstance(event, _MAY_HAVE_RUN):
            self.may_have_run = True
            self.open = False

    @property
    def clean(self):
        return not self.may_have_run and not self.open


class TestSequences(unittest.TestCase):
    @hypothesis.given(st.lists(EVENTS, max_size=8), st.booleans())
    @hypothesis.example([SENT, Answered(), SENT, Failed("23505")], False)
    @hypothesis.example([SENT, Answered(), SENT, Failed("25006")], False)
    @hypothesis.example([SENT, Replaced(), SENT, Failed("23505")], True)
    @hypothesis.settings(max_examples=500, deadline=None)
    def test_not_run_is_never_said_of_what_may_have_run(self, events, idempotent):
        request, target = Request(RequestKind.WRITE, idempotent), Target()
        for event in events:
            if isinstance(event, Sent) and target.open:
                continue
            target.on_event(event)
            effect = request.on_event(event)
            if isinstance(effect, Finish):
                if effect.outcome is Outcome.NOT_RUN:
                    self.assertTrue(target.clean, events)
                return
            if isinstance(effect, Retry) and not idempotent:
                self.assertTrue(target.clean, events)

    @hypothesis.given(st.lists(EVENTS, max_size=8))
    @hypothesis.settings(max_examples=300, deadline=None)
    def test_done_needs_an_answer_and_a_majority(self, events):
        request = Request(RequestKind.WRITE)
        seen = []
        for event in events:
            seen.append(type(event))
            effect = request.on_event(event)
            if isinstance(effect, Finish) and effect.outcome is Outcome.DONE:
                self.assertIn(Answered, seen)
                self.assertIs(type(event), Confirmed)

    @hypothesis.given(st.lists(EVENTS, max_size=8))
    @hypothesis.settings(max_examples=200, deadline=None)
    def test_an_outcome_is_final(self, events):
        request = Request(RequestKind.WRITE)
        outcome = None
        for event in events:
            request.on_event(event)
            if outcome is not None:
                self.assertIs(request.outcome, outcome)
            outcome = request.outcome


class TestOptions(unittest.TestCase):
    def test_values(self):
        options = RequestOptions()
        for name, value in (
            ("session", "cart 7"),
            ("max_age", "1.5"),
            ("idempotent", "on"),
            ("deadline", "2s"),
            ("priority", "background"),
        ):
            options = with_option(options, name, value)
        self.assertEqual(options.max_age_s, 1.5)
        self.assertEqual(options.deadline_s, 2.0)
        self.assertIs(options.priority, Priority.BACKGROUND)
        self.assertEqual(show_option(options, "idempotent"), "on")
        self.assertIsNone(without_option(options, "max_age").max_age_s)

    def test_bad_values(self):
        for name, value in (
            ("max_age", "-1"),
            ("max_age", "nan"),
            ("deadline", "0"),
            ("idempotent", "maybe"),
            ("priority", "first"),
            ("session", "x" * 300),
            ("color", "red"),
        ):
            with self.subTest(name), self.assertRaises(Refusal):
                with_option(RequestOptions(), name, value)


class TestPolicy(unittest.TestCase):
    def test_first_rule_that_matches(self):
        rules = (
            RequestRule("browse", r"from\s+catalogue", max_age_s=5.0),
            RequestRule("any", "select", idempotent=True),
        )
        policy = ServicePolicy(ServiceConfig("s", 1, "d", (), rules=rules))
        self.assertEqual(policy.rule("SELECT 1 FROM Catalogue").name, "browse")
        self.assertEqual(policy.rule("select 1").name, "any")
        self.assertEqual(policy.rule("insert").name, "default")
