"""Test that messages of each landed build are still understood and still sent.

Proxies of two builds run side by side during an upgrade. A type that changes without a
new number parts them silently. `tests/golden` holds the bytes of each number, written
by the build that introduced it; a file is never changed, a new number gets a new one.
"""

import json
import pathlib
import unittest

from rosemaryridge.core import PROTOCOL
from rosemaryridge.core import _peer_messages as datagrams
from rosemaryridge.core.owners import _messages as frames
from rosemaryridge.core.quotas._messages import PermitReply
from rosemaryridge.core.quotas._messages import PermitRequest
from rosemaryridge.core.store import ClaimedTarget
from rosemaryridge.core.store import MirrorState
from rosemaryridge.core.store import RelayedChange
from rosemaryridge.core.store import RelayedObject
from rosemaryridge.core.store import Update

GOLDEN = pathlib.Path(__file__).parent / "golden"
STATES = {"config": MirrorState(7, 0.25), "servers": MirrorState(9, 1.5)}

DATAGRAMS = {
    1: {
        "position request": datagrams.PositionRequest(3, "books"),
        "position reply": datagrams.PositionReply(3, 2, 1209, 0.125),
        "claims request": datagrams.ClaimsRequest(4),
        "claims reply": datagrams.ClaimsReply(
            4, 0.5, 2, {"books": ClaimedTarget(7, 3, "i-1")}
        ),
        "mirrors request": datagrams.MirrorsRequest(5),
        "mirrors reply": datagrams.MirrorsReply(5, 2, STATES),
        "permit request": PermitRequest(6, "shop", 20.0, 20.0, 31, 1, "vm-1"),
        "permit reply": PermitReply(6, True, False, 0.5, 0.25),
    },
    2: {
        "changes request": datagrams.ChangesRequest(7, {"config": 5, "servers": 9}),
        "changes reply": datagrams.ChangesReply(
            7,
            2,
            STATES,
            {
                "config": Update(
                    7,
                    False,
                    (RelayedChange(RelayedObject("main", 7, {"v": 3}), False),),
                ),
                "servers": Update(
                    9, True, (RelayedChange(RelayedObject("i-1", 9, None), True),)
                ),
            },
        ),
        "changes notice": datagrams.ChangesNotice(0),
    },
}

FRAMES = {
    1: {
        "hello": frames.Hello(1, "vm-1", 1200),
        "welcome": frames.Welcome(1, False),
        "place": frames.Place(0, "books", "i-1", "shop"),
        "batch": frames.Batch(
            1,
            2,
            0,
            1,
            1200,
            600,
            1000,
            True,
            {b"tz": b"UTC"},
            (
                frames.BeginStep(True, (3, 1209)),
                frames.RunStep(b"5c0e", 3, b"READ 1a4", True, (3, 1209), b"q2c", True),
                frames.ConditionStep(4),
                frames.RollbackStep(),
            ),
        ),
        "hold": frames.Batch(
            1, 2, 0, 1, 1200, 600, 1000, False, {}, (frames.HoldStep(5),)
        ),
        "resume": frames.Batch(
            1, 2, 0, 1, 1200, 600, 1000, False, {}, (frames.HoldStep(),)
        ),
        "close link": frames.CloseLink(1),
        "ping": frames.Ping(),
        "pong": frames.Pong(),
        "stopping": frames.Stopping(),
        "done": frames.Done(
            2, (frames.AnswerFrame(b"7.1f3", 0, (3, 1209), (b"row",), 1, "why"),)
        ),
        "condition": frames.Condition(2, (True, 3, (3, 1209), 4, 0.5, 2, 17)),
        "not run": frames.NotRun(2, "the queue is full", 0.5, True),
        "lost": frames.Lost(2, "the connection ended", True),
    },
}
NOT_SENT_TO_SENDERS = (
    "hello",
    "place",
    "batch",
    "hold",
    "resume",
    "close link",
    "ping",
)


def read_golden(kind):
    """Return the bytes by number and name."""
    return {
        int(path.stem.rpartition("-")[2]): {
            name: bytes.fromhex(data)
            for name, data in json.loads(path.read_text()).items()
        }
        for path in sorted(GOLDEN.glob(f"{kind}-*.json"))
    }


class DatagramTest(unittest.TestCase):
    def test_each_build_s_datagrams_are_understood(self):
        golden = read_golden("datagrams")
        self.assertEqual(sorted(golden), sorted(DATAGRAMS))
        self.assertEqual(max(golden), PROTOCOL)
        for number, found in golden.items():
            self.assertEqual(found.keys(), DATAGRAMS[number].keys())
            for name, data in found.items():
                with self.subTest(number=number, name=name):
                    self.assertEqual(datagrams.decode(data), DATAGRAMS[number][name])

    def test_a_type_does_not_change_without_a_new_number(self):
        for number, found in read_golden("datagrams").items():
            for name, data in found.items():
                with self.subTest(number=number, name=name):
                    self.assertEqual(datagrams.encode(DATAGRAMS[number][name]), data)


class FrameTest(unittest.TestCase):
    def test_each_build_s_frames_are_understood(self):
        golden = read_golden("frames")
        self.assertEqual(max(golden), frames.VERSION)
        for number, found in golden.items():
            self.assertEqual(found.keys(), FRAMES[number].keys())
            for name, data in found.items():
                reader = frames.FrameReader.of_sender()
                if name in NOT_SENT_TO_SENDERS:
                    reader = frames.FrameReader.of_owner()
                with self.subTest(number=number, name=name):
                    self.assertEqual(reader.feed(data), [FRAMES[number][name]])

    def test_a_type_does_not_change_without_a_new_number(self):
        for number, found in read_golden("frames").items():
            for name, data in found.items():
                with self.subTest(number=number, name=name):
                    self.assertEqual(frames.encode(FRAMES[number][name]), data)

    def test_the_order_of_values_is_part_of_the_number(self):
        golden = json.loads((GOLDEN / "values-1.json").read_text())
        found = {
            "verbs": [verb.value for verb in frames.VERBS],
            "failures": [failure.value for failure in frames.FAILURES],
            "states": [state.value for state in frames.STATES],
        }
        self.assertEqual(found, golden)


if __name__ == "__main__":
    unittest.main()
