import pathlib
import signal
import subprocess
import sys
import time
import unittest

import rosemaryridge
from rosemaryridge.core import Shutdown


class ShutdownTest(unittest.TestCase):
    """Guard against work that a stopping process takes and cannot end."""

    def test_statements_are_taken_while_they_end_in_time(self):
        shutdown = Shutdown(100.0, 6.0)
        self.assertTrue(shutdown.takes_statement(103.9, 1.0))
        self.assertFalse(shutdown.takes_statement(104.1, 1.0))
        self.assertFalse(shutdown.takes_statement(103.1, 2.0))

    def test_transactions_have_half_of_the_grace_period(self):
        shutdown = Shutdown(100.0, 6.0)
        self.assertTrue(shutdown.takes_transaction(103.0))
        self.assertFalse(shutdown.takes_transaction(103.1))
        # Also those whose statements may take longer than that.
        self.assertTrue(shutdown.takes_statement(103.0, 20.0))

    def test_an_owner_takes_no_batch_that_outlasts_it(self):
        shutdown = Shutdown(100.0, 6.0)
        self.assertTrue(shutdown.takes_batch(104.0, 105.0, False))
        self.assertFalse(shutdown.takes_batch(100.1, 106.1, False))
        # An open transaction cannot go on elsewhere.
        self.assertTrue(shutdown.takes_batch(100.1, 106.1, True))
        self.assertFalse(shutdown.takes_batch(103.1, 106.1, True))

    def test_nothing_is_taken_after_the_end(self):
        # Half of a short grace period lies behind the end.
        shutdown = Shutdown(100.0, 1.0)
        self.assertFalse(shutdown.takes_transaction(100.4))
        self.assertFalse(shutdown.takes_statement(100.4, 0.0))

    def test_the_connections_end_before_the_process_is_killed(self):
        self.assertLess(Shutdown(100.0, 6.0).ends_at, 106.0)


class EarlySignalTest(unittest.TestCase):
    """Guard against a process that ends as its settings change while it starts."""

    def test_sighup_before_the_proxy_has_a_handler_is_ignored(self):
        entry = (
            pathlib.Path(rosemaryridge.__file__).parents[1] / "rosemaryridge_entry.py"
        )
        process = subprocess.Popen(
            [sys.executable, str(entry), "/missing"], stderr=subprocess.DEVNULL
        )
        ignored = 0
        while process.poll() is None and not ignored:
            for line in (
                pathlib.Path(f"/proc/{process.pid}/status").read_text().split("\n")
            ):
                if line.startswith("SigIgn:"):
                    ignored = int(line.split()[1], 16) & 1
            time.sleep(0.001)
        process.send_signal(signal.SIGHUP)
        self.assertEqual((process.wait(), ignored), (2, 1))


if __name__ == "__main__":
    unittest.main()
