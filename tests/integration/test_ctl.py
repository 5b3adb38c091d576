"""Test rosemaryridge-ctl against running proxies."""

import asyncio
import json
import signal
import sys
import unittest

from rosemaryridge import codes
from rosemaryridge.cli import _tables
from rosemaryridge.cli._common import exit_status
from rosemaryridge_testbed.fleet import SERVICE
from rosemaryridge_testbed.fleet import FleetOptions
from tests.integration.fleet_case import FleetCase

ENDS_S = 30.0


class CtlTest(FleetCase):
    # A paused proxy is not declared dead before a slow machine has run the command.
    options = FleetOptions(proxies=3, settings={"membership": {"confirm_s": 60.0}})

    async def ctl(self, vm: str, *args: str) -> tuple[int, str]:
        """Run the program against a proxy; return its exit status and output."""
        admin = f"127.0.0.1:{self.fleet.ports[f'{vm}-admin']}"
        command = [sys.executable, "-m", "rosemaryridge.cli.ctl", *args]
        proc = await asyncio.create_subprocess_exec(
            *command,
            "--admin",
            admin,
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await proc.communicate()
        return proc.returncode, output.decode()

    async def test_shows_every_section(self):
        for section in _tables.sections():
            status, output = await self.ctl("p1", "status", section)
            self.assertEqual(status, 0, output)
        status, output = await self.ctl("p1", "status", "groups", "--json")
        group = json.loads(output)[SERVICE]
        self.assertIn(group["primary"], group["targets"])

    async def test_shows_the_fleet_and_names_unresponsive_proxies(self):
        status, output = await self.ctl("p1", "fleet")
        self.assertEqual(status, 0, output)
        for vm in ("p1", "p2"):
            self.assertIn(vm, output)
        self.fleet.pause("p3")
        try:
            status, output = await self.ctl("p1", "fleet", "--timeout", "20")
        finally:
            self.fleet.resume("p3")
        self.assertEqual(status, 0, output)
        self.assertIn("No answer: p3", output)

    async def test_shows_the_revisions_in_force(self):
        status, output = await self.ctl("p2", "revisions", "--json")
        self.assertEqual(status, 0, output)
        answers = json.loads(output)["answers"]
        self.assertIn(SERVICE, answers["p1"]["services"]["services"])

    async def test_explains_statements(self):
        text = "SELECT a FROM t; UPDATE t SET a = 1; SELECT nextval('s')"
        status, output = await self.ctl("p1", "explain", SERVICE, text, "--json")
        self.assertEqual(status, 0, output)
        read, write, call = json.loads(output)
        self.assertTrue(read["is_read"])
        self.assertFalse(write["is_read"])
        self.assertFalse(call["is_read"])
        self.assertTrue(read["target"] and write["target"])
        status, output = await self.ctl("p1", "explain", "nowhere", "SELECT 1")
        self.assertEqual(status, exit_status(codes.peer.PEER_DOWN), output)
        self.assertIn("unknown_service", output)

    async def test_drains_a_proxy(self):
        status, output = await self.ctl("p2", "drain", "--yes")
        self.assertEqual(status, 0, output)
        await self.until(
            lambda: self.fleet.processes.exit_status("p2") == 0, "exit of p2"
        )
        self.fleet.processes.restart("p2")
        conn = await self.until(lambda: self.fleet.connect("p2"), "a connection to p2")
        conn.terminate()

    async def test_reloads_settings_on_sighup(self):
        path = self.fleet.directory / "p1.json"
        settings = json.loads(path.read_text())
        path.write_text(json.dumps({**settings, "drain": {"deadline_s": 7.0}}))
        self.fleet.processes.signal("p1", signal.SIGHUP)
        await self.until(
            lambda: "drain.deadline_s" in self.fleet.tail("p1"),
            "a log line of the reload",
        )
        path.write_text("{broken")
        self.fleet.processes.signal("p1", signal.SIGHUP)
        await self.until(
            lambda: "reload failed" in self.fleet.tail("p1"),
            "a log line of the failed reload",
        )
        path.write_text(json.dumps(settings))
        self.assertEqual((await self.ctl("p1", "status", "proxy"))[0], 0)

    async def test_reports_an_unresponsive_admin_port(self):
        port = self.fleet.ports["p1"]
        self.fleet.ports["gone-admin"] = port
        status, _ = await self.ctl("gone", "status", "proxy", "--timeout", "2")
        self.assertEqual(status, exit_status(codes.peer.PEER_DOWN))


if __name__ == "__main__":
    unittest.main()
