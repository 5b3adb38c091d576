import unittest

import hypothesis
from hypothesis import strategies as st

from rosemaryridge.model import Position
from rosemaryridge.session import SessionState
from rosemaryridge.session import parse_token

POSITIONS = st.builds(Position, st.integers(0, 2**62), st.integers(0, 2**62))


class SessionStateTest(unittest.TestCase):
    @hypothesis.given(st.lists(POSITIONS))
    def test_the_position_never_falls(self, seen):
        state = SessionState()
        for position in seen:
            before = state.required
            state.observe(position)
            self.assertGreaterEqual(state.required, max(before, position))

    @hypothesis.given(POSITIONS)
    def test_a_token_carries_the_position(self, position):
        state = SessionState()
        state.observe(position)
        self.assertEqual(parse_token(state.token()).position, position)

    def test_a_later_term_covers_an_earlier_one(self):
        state = SessionState()
        state.observe(Position(2, 5))
        state.observe(Position(1, 900))
        self.assertEqual(state.required, Position(2, 5))

    @hypothesis.given(st.data())
    def test_a_garbled_token_is_refused(self, data):
        state = SessionState()
        state.observe(Position(3, 1234))
        token = state.token()
        at = data.draw(st.integers(0, len(token) - 1))
        other = data.draw(st.characters(codec="ascii").filter(lambda c: c != token[at]))
        with self.assertRaises(ValueError):
            parse_token(token[:at] + other + token[at + 1 :])

    def test_malformed_text_is_refused(self):
        for text in ("", "3/4", "rr1:3/4", "rr1:-3/4:00000000", "rr2:3/4:00000000"):
            with self.subTest(text=text), self.assertRaises(ValueError):
                parse_token(text)


if __name__ == "__main__":
    unittest.main()
