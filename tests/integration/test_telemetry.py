"""Test the logs, metrics and status pages of a running proxy."""

import json
import unittest

import asyncpg

from rosemaryridge_testbed.fleet import PASSWORD
from rosemaryridge_testbed.fleet import SERVICE
from rosemaryridge_testbed.fleet import USER
from rosemaryridge_testbed.fleet import FleetOptions
from tests.integration.fleet_case import FleetCase

SECRETS = ("card-4111-2222-3333", "1987612345")


class TelemetryTest(FleetCase):
    options = FleetOptions(
        proxies=1, settings={"log": {"level": "debug", "actions": True}}
    )

    @classmethod
    async def prepare(cls):
        text, number = SECRETS
        conn = await cls.fleet.connect("p1")
        await conn.execute("CREATE TABLE cards (id text PRIMARY KEY)")
        await conn.fetch(f"SELECT '{text}', {number}")
        await conn.execute("INSERT INTO cards VALUES ($1)", text)
        await cls.expect_error(conn.execute(f"INSERT INTO cards VALUES ('{text}')"))
        await cls.expect_error(
            conn.execute(f"SELECT a FROM no_table WHERE b = '{text}'")
        )
        await cls.expect_error(
            asyncpg.connect(
                host="127.0.0.1",
                port=cls.fleet.ports["p1"],
                user=USER,
                password=text,
                database=SERVICE,
                ssl=False,
            )
        )
        conn.terminate()

    @classmethod
    async def expect_error(cls, call) -> None:
        try:
            await call
        except asyncpg.PostgresError:
            return
        raise AssertionError("the statement or connection attempt did not fail")

    async def page(self, path: str) -> str:
        return await self.fleet.admin.proxy_page("p1", path)

    async def test_logs_and_pages_contain_no_secrets(self):
        log = self.fleet.processes.log("p1").read_text()
        written = [log, await self.page("/metrics"), await self.page("/status")]
        for text in written:
            for secret in (*SECRETS, PASSWORD):
                self.assertNotIn(secret, text)

    async def test_logs_the_actions_of_a_request_as_a_tree(self):
        lines = self.fleet.processes.log("p1").read_text().splitlines()
        entries = [json.loads(line) for line in lines if line.startswith("{")]
        starts = [
            entry
            for entry in entries
            if entry.get("action_type") == "request:statement"
            and entry["action_status"] == "started"
            and entry["sql"].startswith("INSERT INTO cards VALUES")
        ]
        tree = [
            entry for entry in entries if entry["task_uuid"] == starts[0]["task_uuid"]
        ]
        messages = [entry.get("message", "") for entry in tree]
        self.assertIn("request: A target is chosen.", messages)
        self.assertIn("request: A majority holds the position.", messages)

    async def test_counts_stages_outcomes_and_refusals(self):
        page = await self.page("/metrics")
        for stage in ("queue", "target", "acknowledge"):
            labels = f'{{service="{SERVICE}",stage="{stage}"}}'
            self.assertIn(f"rosemaryridge_stage_seconds_count{labels}", page)
        self.assertIn('refusals_total{code="wrong_account"', page)
        self.assertIn('statements_total{class="write",outcome="done"', page)
        for gauge in ("group_term", "target_lag_seconds", "pool_connections"):
            self.assertIn(f"rosemaryridge_{gauge}{{", page)
        self.assertIn("rosemaryridge_live_proxies 1", page)


if __name__ == "__main__":
    unittest.main()
