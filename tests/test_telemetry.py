import io
import json
import random
import unittest

import eliot

from rosemaryridge import codes
from rosemaryridge.config import LogSettings
from rosemaryridge.telemetry import REFUSALS
from rosemaryridge.telemetry import STAGE_SECONDS
from rosemaryridge.telemetry import Log
from rosemaryridge.telemetry import LogLevel
from rosemaryridge.telemetry import Metrics
from rosemaryridge.telemetry import change_logging
from rosemaryridge.telemetry import counter
from rosemaryridge.telemetry import redact_statement
from rosemaryridge.telemetry import start_logging
from rosemaryridge.timer import ManualTimer


def _discard(_line):
    pass


class MetricsTest(unittest.TestCase):
    def test_counts_every_code(self):
        metrics = Metrics()
        for code in codes.all_codes():
            metrics.refuse(code, "vialbook")
            metrics.retry(code, "vialbook")
        page = metrics.render().decode()
        for code in codes.all_codes():
            labels = f'code="{code.name}",service="vialbook"'
            self.assertIn(f"rosemaryridge_refusals_total{{{labels}}} 1", page)
            labels = f'reason="{code.name}",service="vialbook"'
            self.assertIn(f"rosemaryridge_retries_total{{{labels}}} 1", page)

    def test_renders_again_with_later_counts(self):
        metrics = Metrics()
        for _ in range(2):
            metrics.refuse(codes.limits.SHED)
            metrics.render()
        self.assertEqual(metrics.value(REFUSALS, "shed", ""), 2)
        self.assertIn(b'{code="shed",service=""} 2', metrics.render())

    def test_renders_histograms(self):
        metrics = Metrics()
        metrics.observe(STAGE_SECONDS, 0.003, "queue", "vialbook")
        page = metrics.render().decode()
        self.assertIn("rosemaryridge_stage_seconds_count", page)
        self.assertIn('le="0.005"', page)

    def test_rejects_names_against_the_convention(self):
        with self.assertRaises(ValueError):
            counter("calls", "Count calls.")


class LogTest(unittest.TestCase):
    def setUp(self):
        # eliot sends the buffered lines of earlier tests to the first destination
        # of a process; this one discards them.
        eliot.add_destinations(_discard)
        self.addCleanup(eliot.remove_destination, _discard)
        self.stream = io.StringIO()
        self.destination = eliot.FileDestination(file=self.stream)
        eliot.add_destinations(self.destination)
        self.addCleanup(eliot.remove_destination, self.destination)
        self.addCleanup(change_logging, LogSettings())
        self.timer = ManualTimer()
        self.metrics = Metrics()

    def start(self, **changes):
        start_logging(LogSettings(**changes), self.timer, self.metrics)

    def lines(self):
        return [json.loads(line) for line in self.stream.getvalue().splitlines()]

    def test_writes_prefix_and_level(self):
        self.start(level=LogLevel.WARNING)
        log = Log("group")
        log.info("Nothing changed.")
        log.warning("Primary is suspected.", service="vialbook")
        (line,) = self.lines()
        self.assertEqual(line["message"], "group: Primary is suspected.")
        self.assertEqual(line["level"], "warning")

    def test_redacts_secrets_and_literals(self):
        self.start()
        Log("wire").info(
            "Statement failed.",
            password="hunter2",
            statement="SELECT * FROM t WHERE b='visa-4111-2222' AND c=98761234567890",
            error=ValueError("invalid input: visa-4111-2222"),
        )
        written = self.stream.getvalue()
        for secret in ("hunter2", "visa-4111-2222", "98761234567890"):
            self.assertNotIn(secret, written)

    def test_suppresses_repeated_lines_and_writes_their_count(self):
        self.start(repeat_limit=2, repeat_period_s=10.0)
        log = Log("peer")
        for _ in range(100):
            log.warning("Peer is unresponsive.")
        self.assertEqual(len(self.lines()), 2)
        self.timer.advance(10.0)
        self.assertEqual(self.lines()[-1]["repeated"], 98)

    def test_writes_action_trees_only_if_enabled(self):
        log = Log("request")
        self.start()
        with log.action("statement"):
            pass
        self.assertEqual(self.lines(), [])
        self.start(actions=True)
        with log.action("statement", sql="SELECT 'x1y2'"):
            log.info("Sent.")
        levels = [line["task_level"] for line in self.lines()]
        self.assertEqual(levels, [[1], [2], [3]])
        self.assertNotIn("x1y2", self.stream.getvalue())

    def test_omits_the_text_of_errors_from_actions(self):
        self.start(actions=True)
        with self.assertRaises(ValueError), Log("request").action("statement"):
            raise ValueError("duplicate key visa-4111-2222")
        self.assertEqual(self.lines()[-1]["error"], "ValueError")
        self.assertNotIn("visa-4111-2222", self.stream.getvalue())

    def test_writes_notes_only_if_trees_are_enabled(self):
        self.start()
        Log("request").note("A target is chosen.")
        self.assertEqual(self.lines(), [])


class RedactTest(unittest.TestCase):
    def test_replaces_every_kind_of_literal(self):
        rng = random.Random(3)
        for quote in (
            "'{}'",
            "E'{}'",
            "$${}$$",
            "$tag${}$tag$",
            "{}",
            "B'{}'",
            "X'{}'",
        ):
            secret = str(rng.randrange(10**8, 10**9))
            redacted = redact_statement(f"SELECT * FROM t WHERE {quote.format(secret)}")
            self.assertNotIn(secret, redacted)

    def test_hides_a_statement_that_cannot_be_tokenized(self):
        self.assertNotIn("4111", redact_statement("SELECT '4111"))

    def test_removes_comments(self):
        self.assertNotIn("4111", redact_statement("SELECT 1 /* 4111 */ -- 4111"))


if __name__ == "__main__":
    unittest.main()
