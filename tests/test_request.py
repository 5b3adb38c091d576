"""Test the outcome of a request for a failure at each stage."""

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
from rosemaryridge.request import CancelRequested
from rosemaryridge.request import CancelTarget
from rosemaryridge.request import Confirm
from rosemaryridge.request import Confirmed
from rosemaryridge.request import ConfirmFailed
from rosemaryridge.request import ConnectionLost
from rosemaryridge.request import DeadlinePassed
from rosemaryridge.request import Delivered
from rosemaryridge.request import Failed
from rosemaryridge.request import Finish
from rosemaryridge.request import PrimaryReplaced
from rosemaryridge.request import Refused
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


def last_effect(kind, *events, **options):
    """Return the effect of the last of some events on a new request."""
    request = Request(kind, **options)
    effect = None
    for event in events:
        effect = request.on_event(event)
    return effect


class RequestOutcomeTest(unittest.TestCase):
    def assert_finished(self, effect, outcome, code=None):
        self.assertIsInstance(effect, Finish)
        self.assertEqual((effect.outcome, effect.code), (outcome, code))

    def test_write_lost(self):
        write = RequestKind.WRITE
        self.assertIsInstance(last_effect(write, ConnectionLost()), Retry)
        lost = last_effect(write, SENT, ConnectionLost())
        self.assert_finished(lost, Outcome.UNKNOWN, codes.request.CONNECTION_LOST)
        late = last_effect(
            write, SENT, Answered(), ConfirmFailed(codes.group.ACK_TIMEOUT)
        )
        self.assert_finished(late, Outcome.UNKNOWN, codes.group.ACK_TIMEOUT)
        done = last_effect(write, SENT, Answered(), Confirmed())
        self.assert_finished(done, Outcome.DONE)

    def test_answered_write_must_be_confirmed(self):
        self.assertIsInstance(last_effect(RequestKind.WRITE, SENT, Answered()), Confirm)

    def test_write_at_the_deadline(self):
        write = RequestKind.WRITE
        waiting = last_effect(write, DeadlinePassed())
        self.assert_finished(waiting, Outcome.NOT_RUN, codes.limits.DEADLINE_IN_QUEUE)
        sent = last_effect(write, SENT, DeadlinePassed())
        self.assert_finished(sent, Outcome.UNKNOWN, codes.request.DEADLINE_PASSED)
        answered = last_effect(write, SENT, Answered(), DeadlinePassed())
        self.assert_finished(answered, Outcome.UNKNOWN, codes.group.ACK_TIMEOUT)

    def test_target_error_means_not_run(self):
        self.assert_finished(
            last_effect(RequestKind.WRITE, SENT, Failed("23505")), Outcome.NOT_RUN
        )

    def test_fenced_write_is_retried(self):
        self.assertIsInstance(
            last_effect(RequestKind.WRITE, SENT, Failed("25006")), Retry
        )

    def test_write_is_of_unknown_outcome_if_its_backend_is_terminated(self):
        for sqlstate in ("57P01", "08006", "40003"):
            effect = last_effect(RequestKind.WRITE, SENT, Failed(sqlstate))
            self.assert_finished(effect, Outcome.UNKNOWN, codes.request.CONNECTION_LOST)

    def test_commit(self):
        commit = RequestKind.COMMIT
        before = last_effect(commit, ConnectionLost())
        self.assert_finished(before, Outcome.NOT_RUN, codes.request.TRANSACTION_LOST)
        after = last_effect(commit, SENT, ConnectionLost())
        self.assert_finished(after, Outcome.UNKNOWN, codes.request.CONNECTION_LOST)
        self.assert_finished(
            last_effect(commit, SENT, Failed("23503")), Outcome.NOT_RUN
        )

    def test_in_transaction(self):
        inside = RequestKind.IN_TRANSACTION
        for events in (
            (ConnectionLost(),),
            (SENT, ConnectionLost()),
            (SENT, DeadlinePassed()),
        ):
            effect = last_effect(inside, *events)
            self.assert_finished(
                effect, Outcome.NOT_RUN, codes.request.TRANSACTION_LOST
            )

    def test_read(self):
        read = RequestKind.READ
        self.assertIsInstance(last_effect(read, ON_REPLICA, ConnectionLost()), Retry)
        self.assert_finished(last_effect(read, ON_REPLICA, Answered()), Outcome.DONE)
        self.assertIsInstance(last_effect(read, SENT, Answered()), Confirm)
        partly = last_effect(
            read, ON_REPLICA, Answered(False), Delivered(), ConnectionLost()
        )
        self.assert_finished(partly, Outcome.NOT_RUN, codes.request.READ_FAILED)
        failed = ConfirmFailed(codes.group.ACK_TIMEOUT)
        self.assertIsInstance(last_effect(read, SENT, Answered(), failed), Retry)
        self.assertIsInstance(last_effect(read, ON_REPLICA, Failed("40001")), Retry)

    def test_primary_replaced(self):
        write, commit = RequestKind.WRITE, RequestKind.COMMIT
        for kind in (write, commit):
            sent = last_effect(kind, SENT, PrimaryReplaced())
            self.assert_finished(sent, Outcome.UNKNOWN, codes.group.PRIMARY_REPLACED)
            answered = last_effect(kind, SENT, Answered(), PrimaryReplaced())
            self.assert_finished(
                answered, Outcome.UNKNOWN, codes.group.PRIMARY_REPLACED
            )
        self.assertIsInstance(last_effect(write, PrimaryReplaced()), Retry)
        self.assertIsInstance(
            last_effect(write, SENT, PrimaryReplaced(), idempotent=True), Retry
        )
        before = last_effect(commit, PrimaryReplaced())
        self.assert_finished(before, Outcome.NOT_RUN, codes.request.TRANSACTION_LOST)
        for events in ((PrimaryReplaced(),), (SENT, PrimaryReplaced())):
            inside = last_effect(RequestKind.IN_TRANSACTION, *events)
            self.assert_finished(
                inside, Outcome.NOT_RUN, codes.request.TRANSACTION_LOST
            )

    def test_primary_replaced_under_a_read(self):
        read = RequestKind.READ
        self.assertIsInstance(last_effect(read, SENT, PrimaryReplaced()), Retry)
        streamed = (SENT, Answered(False), Confirmed(), Delivered(), PrimaryReplaced())
        partly = last_effect(read, *streamed)
        self.assert_finished(partly, Outcome.NOT_RUN, codes.request.READ_FAILED)
        cancelled = last_effect(read, SENT, CancelRequested(), PrimaryReplaced())
        code = codes.request.CANCELED_NOT_SENT
        self.assert_finished(cancelled, Outcome.NOT_RUN, code)

    def test_idempotent_write_that_cannot_be_retried_is_of_unknown_outcome(self):
        write = RequestKind.WRITE
        budget = Refused(codes.limits.RETRY_BUDGET_SPENT)
        effect = last_effect(write, SENT, ConnectionLost(), budget, idempotent=True)
        self.assert_finished(effect, Outcome.UNKNOWN, codes.request.CONNECTION_LOST)
        effect = last_effect(
            write, SENT, ConnectionLost(), SENT, Failed("23505"), idempotent=True
        )
        self.assert_finished(effect, Outcome.UNKNOWN)

    def test_cancel(self):
        write = RequestKind.WRITE
        effect = last_effect(write, CancelRequested())
        self.assert_finished(effect, Outcome.NOT_RUN, codes.request.CANCELED_NOT_SENT)
        self.assertIsInstance(last_effect(write, SENT, CancelRequested()), CancelTarget)
        stopped = last_effect(write, SENT, CancelRequested(), Failed("57014"))
        self.assert_finished(stopped, Outcome.NOT_RUN)
        too_late = last_effect(write, SENT, CancelRequested(), Answered(), Confirmed())
        self.assert_finished(too_late, Outcome.DONE)


EVENTS = st.one_of(
    st.sampled_from((SENT, ON_REPLICA, Delivered(), Answered(), Answered(False))),
    st.sampled_from(
        (ConnectionLost(), DeadlinePassed(), Confirmed(), CancelRequested())
    ),
    st.just(PrimaryReplaced()),
    st.sampled_from(("23505", "25006", "57P01", "40001", "57014")).map(Failed),
    st.just(ConfirmFailed(codes.group.ACK_TIMEOUT)),
    st.just(Refused(codes.limits.QUEUE_FULL)),
)


_MAY_HAVE_RUN = (ConnectionLost, PrimaryReplaced, Answered, DeadlinePassed, Failed)


class WriteTracker:
    """Track independently of the request whether a write may have taken effect."""

    def __init__(self):
        self.is_open = False
        self.may_have_run = False

    def on_event(self, event):
        if isinstance(event, Sent):
            self.is_open = True
        elif isinstance(event, Failed) and not event.sqlstate.startswith("57P"):
            self.is_open = False
        elif self.is_open and isinstance(event, _MAY_HAVE_RUN):
            self.may_have_run = True
            self.is_open = False

    @property
    def certainly_not_run(self):
        return not self.may_have_run and not self.is_open


class RequestSequenceTest(unittest.TestCase):
    @hypothesis.given(st.lists(EVENTS, max_size=8), st.booleans())
    @hypothesis.example([SENT, Answered(), SENT, Failed("23505")], False)
    @hypothesis.example([SENT, Answered(), SENT, Failed("25006")], False)
    @hypothesis.example([SENT, PrimaryReplaced(), SENT, Failed("23505")], True)
    @hypothesis.settings(max_examples=500, deadline=None)
    def test_write_that_may_have_run_never_finishes_as_not_run(
        self, events, idempotent
    ):
        request, tracker = Request(RequestKind.WRITE, idempotent), WriteTracker()
        for event in events:
            if isinstance(event, Sent) and tracker.is_open:
                continue
            tracker.on_event(event)
            effect = request.on_event(event)
            if isinstance(effect, Finish):
                if effect.outcome is Outcome.NOT_RUN:
                    self.assertTrue(tracker.certainly_not_run, events)
                return
            if isinstance(effect, Retry) and not idempotent:
                self.assertTrue(tracker.certainly_not_run, events)

    @hypothesis.given(st.lists(EVENTS, max_size=8))
    @hypothesis.settings(max_examples=300, deadline=None)
    def test_done_requires_an_answer_and_a_majority(self, events):
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
    def test_outcome_is_final(self, events):
        request = Request(RequestKind.WRITE)
        outcome = None
        for event in events:
            request.on_event(event)
            if outcome is not None:
                self.assertIs(request.outcome, outcome)
            outcome = request.outcome


class RequestOptionsTest(unittest.TestCase):
    def test_valid_values(self):
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

    def test_invalid_values(self):
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


class ServicePolicyTest(unittest.TestCase):
    def test_first_matching_rule_applies(self):
        rules = (
            RequestRule("browse", r"from\s+catalogue", max_age_s=5.0),
            RequestRule("any", "select", idempotent=True),
        )
        policy = ServicePolicy(ServiceConfig("s", 1, "d", (), rules=rules))
        self.assertEqual(policy.rule("SELECT 1 FROM Catalogue").name, "browse")
        self.assertEqual(policy.rule("select 1").name, "any")
        self.assertEqual(policy.rule("insert").name, "default")
