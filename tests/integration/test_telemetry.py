"""Read the logs and metrics that a running proxy writes."""

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
        await cls.fails(conn.execute(f"INSERT INTO cards VALUES ('{text}')"))
        await cls.fails(conn.execute(f"SELECT a FROM no_table WHERE b = '{text}'"))
        await cls.fails(
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
    async def fails(cls, call) -> None:
        try:
            await call
        except asyncpg.PostgresError:
            return
        raise AssertionError("no error came")

    async def page(self, path: str) -> str:
        return await self.fleet.admin.proxy_page("p1", path)

    async def test_keeps_secrets_out_of_logs_and_pages(self):
        log = self.fleet.processes.log("p1").read_text()
        written = [log, await self.page("/metrics"), await self.page("/status")]
        for text in written:
            for secret in (*SECRETS, PASSWORD):
                self.assertNotIn(secret, text)

    async def test_writes_a_tree_for_each_request(self):
        lines = self.fleet.processes.log("p1").read_text().splitlines()
        found = [json.loads(line) for line in lines if line.startswith("{")]
        begun = [
            one
            for one in found
            if one.get("action_type") == "request:statement"
            and one["action_status"] == "started"
            and one["sql"].startswith("INSERT INTO cards VALUES")
        ]
        tree = [one for one in found if one["task_uuid"] == begun[0]["task_uuid"]]
        sentences = [one.get("message", "") for one in tree]
        self.assertIn("request: A target is chosen.", sentences)
        self.assertIn("request: A majority holds the position.", sentences)

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
