import unittest

from rosemaryridge.codes import group as codes
from rosemaryridge.group import GroupView
from rosemaryridge.group import ObservedStatus
from rosemaryridge.group._acknowledge import AcknowledgeWindow
from rosemaryridge.group._acknowledge import Waiter
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus


def status(name, lsn, term=1, fenced=None, role=Role.REPLICA, written=None):
    received = Position(term if written is None else written, lsn)
    fenced = term if fenced is None else fenced
    return TargetStatus(name, role, term, fenced, received, received)


class AcknowledgeWindowTest(unittest.TestCase):
    def setUp(self):
        self.view = GroupView("shop", ("a", "b", "c"))
        self.window = AcknowledgeWindow(self.view)

    def see(self, seen_at, report):
        self.view.observe(report.target, ObservedStatus(report, seen_at))
        return self.window.settle()

    def lead(self, seen_at, lsn, **kwargs):
        return self.see(seen_at, status("a", lsn, role=Role.PRIMARY, **kwargs))

    def test_waits_for_a_majority_in_the_term(self):
        self.lead(0.0, 4)
        self.window.add(Waiter("a", 1, 1.0))
        self.assertEqual(self.lead(1.5, 5), ())
        self.assertEqual(self.see(1.6, status("b", 4)), ())
        (settled,) = self.see(1.7, status("c", 5))
        self.assertEqual((settled.position, settled.code), (Position(1, 5), None))

    def test_ignores_a_primary_sample_from_before_the_commit(self):
        self.lead(0.0, 4)
        self.see(0.5, status("b", 9))
        self.window.add(Waiter("a", 1, 1.0))
        self.assertEqual(self.lead(0.9, 4), ())
        self.assertEqual(self.lead(1.1, 5)[0].position, Position(1, 5))

    def test_does_not_count_a_fenced_replica(self):
        self.lead(0.0, 4)
        self.window.add(Waiter("a", 1, 1.0))
        self.lead(1.1, 5)
        self.assertEqual(self.see(1.2, status("b", 5, fenced=2)), ())

    def test_does_not_count_entries_of_an_earlier_term(self):
        self.lead(0.0, 4, term=2)
        self.window.add(Waiter("a", 2, 1.0))
        self.lead(1.1, 5, term=2)
        self.assertEqual(self.see(1.2, status("b", 9, term=2, written=1)), ())

    def test_a_higher_term_ends_the_wait_as_unknown(self):
        self.lead(0.0, 4)
        self.window.add(Waiter("a", 1, 1.0))
        report = status("b", 6, term=2, role=Role.PRIMARY)
        self.assertEqual(self.see(1.2, report)[0].code, codes.PRIMARY_REPLACED)

    def test_a_fenced_primary_ends_the_wait_as_unknown(self):
        self.lead(0.0, 4)
        self.window.add(Waiter("a", 1, 1.0))
        (settled,) = self.lead(1.2, 6, fenced=2)
        self.assertEqual(settled.code, codes.PRIMARY_REPLACED)

    def test_a_read_asks_for_a_majority_seen_after_it(self):
        self.lead(0.0, 4)
        self.see(0.1, status("b", 4))
        self.window.add(Waiter("a", 1, 1.0, Position(1, 4), fresh=True))
        self.assertEqual(self.lead(1.1, 4), ())
        self.assertIsNone(self.see(1.2, status("b", 4))[0].code)

    def test_the_planted_fault_answers_before_a_majority_holds(self):
        self.window = AcknowledgeWindow(self.view, acknowledge_early=True)
        self.lead(0.0, 4)
        self.window.add(Waiter("a", 1, 1.0))
        self.assertIsNone(self.lead(1.1, 5)[0].code)


class GroupViewTest(unittest.TestCase):
    def test_a_majority_of_fences_leaves_no_primary(self):
        view = GroupView("shop", ("a", "b", "c"))
        view.observe("a", ObservedStatus(status("a", 4, role=Role.PRIMARY), 0.0))
        self.assertEqual(view.primary, "a")
        view.observe("b", ObservedStatus(status("b", 4, fenced=2), 0.1))
        self.assertEqual(view.primary, "a")
        view.observe("c", ObservedStatus(status("c", 4, fenced=2), 0.2))
        self.assertIsNone(view.primary)

    def test_an_old_primary_does_not_lead_again(self):
        view = GroupView("shop", ("a", "b", "c"))
        view.announce(3, "b")
        view.observe("a", ObservedStatus(status("a", 4, role=Role.PRIMARY), 0.0))
        self.assertEqual((view.term, view.primary), (3, "b"))

    def test_is_confirmed_when_a_majority_was_asked(self):
        view = GroupView("shop", ("a", "b", "c"))
        view.observe("a", ObservedStatus(status("a", 4, role=Role.PRIMARY), 3.0))
        view.observe("b", ObservedStatus(status("b", 4), 2.0))
        view.observe("c", ObservedStatus(status("c", 4), 1.0))
        self.assertEqual(view.confirmed_at, 2.0)
        self.assertEqual(view.majority_position, Position(1, 4))


if __name__ == "__main__":
    unittest.main()
