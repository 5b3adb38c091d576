"""Test how the session position of a token is advanced."""

import types
import unittest

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Outcome
from rosemaryridge.model import Position
from rosemaryridge.proxy._caller_state import CallerState
from rosemaryridge.proxy._caller_state import ReadMark
from rosemaryridge.proxy._target_selector import TargetSelector


class FakeGroup:
    def __init__(self, answer):
        self.answer = answer

    def view(self, service):
        return types.SimpleNamespace(primary="t1", term=1, statuses={})

    async def acknowledge(self, service, target, term, deadline):
        if isinstance(self.answer, Refusal):
            raise self.answer
        return self.answer


class TestAdvancePosition(unittest.IsolatedAsyncioTestCase):
    def selector(self, answer):
        self.state = CallerState("shop", "shop", read_mark=ReadMark("t2", 1.0))
        ctx = types.SimpleNamespace(group=FakeGroup(answer))
        return TargetSelector(ctx, self.state)

    options = types.SimpleNamespace(deadline=1.0)

    async def test_position_covers_the_last_read(self):
        await self.selector(Position(1, 7)).advance_position(self.options)
        self.assertEqual(self.state.session.required, Position(1, 7))
        self.assertIsNone(self.state.read_mark)

    async def test_failed_acknowledgement_is_not_a_write_outcome(self):
        for code in (codes.group.PRIMARY_REPLACED, codes.group.ACK_TIMEOUT):
            with self.assertRaises(Refusal) as caught:
                await self.selector(Refusal(code)).advance_position(self.options)
            self.assertIs(caught.exception.code.outcome, Outcome.NOT_RUN)
            self.assertIsNotNone(caught.exception.retry_after_s)
            self.assertIsNotNone(self.state.read_mark)


if __name__ == "__main__":
    unittest.main()
