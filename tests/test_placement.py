"""Test what is ended when a primary is replaced."""

import unittest
from unittest import mock

import asyncpg

from rosemaryridge.proxy._placement import InFlight
from rosemaryridge.proxy._placement import Placement
from rosemaryridge.request import ConnectionLost
from rosemaryridge.request import Failed
from rosemaryridge.request import PrimaryReplaced


def placement(term=1, primary=True):
    return Placement("a", term, primary, 0.0, mock.Mock())


class TestInFlight(unittest.TestCase):
    def setUp(self):
        self.in_flight = InFlight()

    def change(self, one, service="s", term=2):
        """Return whether a change of primary ends a placement."""
        self.in_flight.on_primary_change(service, term, "b")
        self.assertEqual(one.connection.terminate.called, one.replaced)
        return one.replaced

    def test_primary_of_an_older_term(self):
        one = placement()
        self.in_flight.add("s", one)
        self.assertTrue(self.change(one))

    def test_left_alone(self):
        for one in (placement(primary=False), placement(term=2)):
            self.in_flight.add("s", one)
            self.assertFalse(self.change(one))

    def test_other_service(self):
        one = placement()
        self.in_flight.add("s", one)
        self.assertFalse(self.change(one, service="other"))

    def test_fenced_primary_may_still_answer(self):
        one = placement()
        self.in_flight.add("s", one)
        self.in_flight.on_primary_change("s", 1, None)
        self.assertFalse(one.replaced)

    def test_ended_before(self):
        one = placement()
        self.in_flight.add("s", one)
        self.in_flight.discard("s", one)
        self.assertFalse(self.change(one))


class TestFailure(unittest.TestCase):
    def test_kept(self):
        one = placement()
        one.raise_if_replaced()
        self.assertEqual(one.failure_event(OSError()), ConnectionLost())
        error = asyncpg.UniqueViolationError()
        self.assertEqual(one.failure_event(error), Failed("23505"))

    def test_replaced(self):
        one = placement()
        one.close_as_replaced()
        with self.assertRaises(asyncpg.InterfaceError) as caught:
            one.raise_if_replaced()
        self.assertEqual(one.failure_event(caught.exception), PrimaryReplaced())
        cut = asyncpg.ConnectionDoesNotExistError()
        self.assertEqual(one.failure_event(cut), PrimaryReplaced())

    def test_answer_that_came_before(self):
        one = placement()
        one.close_as_replaced()
        error = asyncpg.UniqueViolationError()
        self.assertEqual(one.failure_event(error), Failed("23505"))
