import unittest

from rosemaryridge.codes import group as codes
from rosemaryridge.group import GroupView
from rosemaryridge.group import ObservedStatus
from rosemaryridge.group._acknowledge import AcknowledgeTracker
from rosemaryridge.group._acknowledge import MajorityWait
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus


def status(name, lsn, term=1, fenced=None, role=Role.REPLICA, received_term=None):
    received = Position(term if received_term is None else received_term, lsn)
    fenced = term if fenced is None else fenced
    return TargetStatus(name, role, term, fenced, received, received)


class AcknowledgeTrackerTest(unittest.TestCase):
    def setUp(self):
        self.view = GroupView("shop", ("a", "b", "c"))
        self.tracker = AcknowledgeTracker(self.view)

    def observe_and_settle(self, seen_at, target_status):
        self.view.observe(target_status.target, ObservedStatus(target_status, seen_at))
        return self.tracker.pop_finished()

    def observe_primary(self, seen_at, lsn, **kwargs):
        return self.observe_and_settle(
            seen_at, status("a", lsn, role=Role.PRIMARY, **kwargs)
        )

    def test_waits_for_a_majority_in_the_term(self):
        self.observe_primary(0.0, 4)
        self.tracker.add(MajorityWait("a", 1, 1.0))
        self.assertEqual(self.observe_primary(1.5, 5), ())
        self.assertEqual(self.observe_and_settle(1.6, status("b", 4)), ())
        (settled,) = self.observe_and_settle(1.7, status("c", 5))
        self.assertEqual((settled.position, settled.code), (Position(1, 5), None))

    def test_ignores_a_primary_sample_from_before_the_commit(self):
        self.observe_primary(0.0, 4)
        self.observe_and_settle(0.5, status("b", 9))
        self.tracker.add(MajorityWait("a", 1, 1.0))
        self.assertEqual(self.observe_primary(0.9, 4), ())
        self.assertEqual(self.observe_primary(1.1, 5)[0].position, Position(1, 5))

    def test_does_not_count_a_fenced_replica(self):
        self.observe_primary(0.0, 4)
        self.tracker.add(MajorityWait("a", 1, 1.0))
        self.observe_primary(1.1, 5)
        self.assertEqual(self.observe_and_settle(1.2, status("b", 5, fenced=2)), ())

    def test_does_not_count_entries_of_an_earlier_term(self):
        self.observe_primary(0.0, 4, term=2)
        self.tracker.add(MajorityWait("a", 2, 1.0))
        self.observe_primary(1.1, 5, term=2)
        self.assertEqual(
            self.observe_and_settle(1.2, status("b", 9, term=2, received_term=1)), ()
        )

    def test_higher_term_ends_the_wait_with_primary_replaced(self):
        self.observe_primary(0.0, 4)
        self.tracker.add(MajorityWait("a", 1, 1.0))
        target_status = status("b", 6, term=2, role=Role.PRIMARY)
        self.assertEqual(
            self.observe_and_settle(1.2, target_status)[0].code, codes.PRIMARY_REPLACED
        )

    def test_fenced_primary_ends_the_wait_with_primary_replaced(self):
        self.observe_primary(0.0, 4)
        self.tracker.add(MajorityWait("a", 1, 1.0))
        (settled,) = self.observe_primary(1.2, 6, fenced=2)
        self.assertEqual(settled.code, codes.PRIMARY_REPLACED)

    def test_read_requires_statuses_requested_after_it(self):
        self.observe_primary(0.0, 4)
        self.observe_and_settle(0.1, status("b", 4))
        self.tracker.add(MajorityWait("a", 1, 1.0, Position(1, 4), fresh=True))
        self.assertEqual(self.observe_primary(1.1, 4), ())
        self.assertIsNone(self.observe_and_settle(1.2, status("b", 4))[0].code)

    def test_injected_fault_acknowledges_before_a_majority(self):
        self.tracker = AcknowledgeTracker(self.view, acknowledge_early=True)
        self.observe_primary(0.0, 4)
        self.tracker.add(MajorityWait("a", 1, 1.0))
        self.assertIsNone(self.observe_primary(1.1, 5)[0].code)


class GroupViewTest(unittest.TestCase):
    def test_no_primary_once_a_majority_is_fenced(self):
        view = GroupView("shop", ("a", "b", "c"))
        view.observe("a", ObservedStatus(status("a", 4, role=Role.PRIMARY), 0.0))
        self.assertEqual(view.primary, "a")
        view.observe("b", ObservedStatus(status("b", 4, fenced=2), 0.1))
        self.assertEqual(view.primary, "a")
        view.observe("c", ObservedStatus(status("c", 4, fenced=2), 0.2))
        self.assertIsNone(view.primary)

    def test_ignores_a_primary_of_an_older_term(self):
        view = GroupView("shop", ("a", "b", "c"))
        view.record_promotion(3, "b")
        view.observe("a", ObservedStatus(status("a", 4, role=Role.PRIMARY), 0.0))
        self.assertEqual((view.term, view.primary), (3, "b"))

    def test_confirmed_at_is_when_a_majority_was_asked(self):
        view = GroupView("shop", ("a", "b", "c"))
        view.observe("a", ObservedStatus(status("a", 4, role=Role.PRIMARY), 3.0))
        view.observe("b", ObservedStatus(status("b", 4), 2.0))
        view.observe("c", ObservedStatus(status("c", 4), 1.0))
        self.assertEqual(view.confirmed_at, 2.0)
        self.assertEqual(view.majority_position, Position(1, 4))


if __name__ == "__main__":
    unittest.main()
