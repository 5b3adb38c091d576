"""Test which requests end, and with which failure, if a primary is replaced."""

import unittest
from unittest import mock

import asyncpg

from rosemaryridge.proxy._placement import InFlight
from rosemaryridge.proxy._placement import Placement
from rosemaryridge.request import ConnectionLost
from rosemaryridge.request import Failed
from rosemaryridge.request import PrimaryReplaced


def make_placement(term=1, primary=True):
    return Placement("a", term, primary, 0.0, mock.Mock())


class TestInFlight(unittest.TestCase):
    def setUp(self):
        self.in_flight = InFlight()

    def is_ended_by_change(self, placement, service="s", term=2):
        """Change the primary; return whether that ends the placement."""
        self.in_flight.on_primary_change(service, term, "b")
        self.assertEqual(placement.connection.terminate.called, placement.replaced)
        return placement.replaced

    def test_primary_of_an_older_term(self):
        placement = make_placement()
        self.in_flight.add("s", placement)
        self.assertTrue(self.is_ended_by_change(placement))

    def test_replica_and_primary_of_the_new_term(self):
        for placement in (make_placement(primary=False), make_placement(term=2)):
            self.in_flight.add("s", placement)
            self.assertFalse(self.is_ended_by_change(placement))

    def test_other_service(self):
        placement = make_placement()
        self.in_flight.add("s", placement)
        self.assertFalse(self.is_ended_by_change(placement, service="other"))

    def test_fenced_primary_may_still_answer(self):
        placement = make_placement()
        self.in_flight.add("s", placement)
        self.in_flight.on_primary_change("s", 1, None)
        self.assertFalse(placement.replaced)

    def test_discarded_placement(self):
        placement = make_placement()
        self.in_flight.add("s", placement)
        self.in_flight.discard("s", placement)
        self.assertFalse(self.is_ended_by_change(placement))


class TestFailure(unittest.TestCase):
    def test_primary_not_replaced(self):
        placement = make_placement()
        placement.raise_if_replaced()
        self.assertEqual(placement.failure_event(OSError()), ConnectionLost())
        error = asyncpg.UniqueViolationError()
        self.assertEqual(placement.failure_event(error), Failed("23505"))

    def test_primary_replaced(self):
        placement = make_placement()
        placement.close_as_replaced()
        with self.assertRaises(asyncpg.InterfaceError) as caught:
            placement.raise_if_replaced()
        self.assertEqual(placement.failure_event(caught.exception), PrimaryReplaced())
        cut = asyncpg.ConnectionDoesNotExistError()
        self.assertEqual(placement.failure_event(cut), PrimaryReplaced())

    def test_error_answered_before_the_replacement(self):
        placement = make_placement()
        placement.close_as_replaced()
        error = asyncpg.UniqueViolationError()
        self.assertEqual(placement.failure_event(error), Failed("23505"))
