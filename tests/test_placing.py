import types
import unittest

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.model import Outcome
from rosemaryridge.model import Position
from rosemaryridge.proxy._caller_state import CallerState
from rosemaryridge.proxy._caller_state import ReadMark
from rosemaryridge.proxy._placing import Placer


class FakeGroup:
    def __init__(self, answer):
        self.answer = answer

    def view(self, service):
        return types.SimpleNamespace(primary="t1", term=1, statuses={})

    async def acknowledge(self, service, target, term, deadline):
        if isinstance(self.answer, Refusal):
            raise self.answer
        return self.answer


class SettleTest(unittest.IsolatedAsyncioTestCase):
    def placer(self, answer):
        self.state = CallerState("shop", "shop", mark=ReadMark("t2", 1.0))
        parts = types.SimpleNamespace(group=FakeGroup(answer))
        return Placer(parts, self.state)

    terms = types.SimpleNamespace(deadline=1.0)

    async def test_the_position_covers_what_was_read(self):
        await self.placer(Position(1, 7)).settle(self.terms)
        self.assertEqual(self.state.session.required, Position(1, 7))
        self.assertIsNone(self.state.mark)

    async def test_no_outcome_of_a_write_is_told_of_a_token(self):
        for code in (codes.group.PRIMARY_REPLACED, codes.group.ACK_TIMEOUT):
            with self.assertRaises(Refusal) as caught:
                await self.placer(Refusal(code)).settle(self.terms)
            self.assertIs(caught.exception.code.outcome, Outcome.NOT_RUN)
            self.assertIsNotNone(caught.exception.retry_after_s)
            self.assertIsNotNone(self.state.mark)


if __name__ == "__main__":
    unittest.main()
