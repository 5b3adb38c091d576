import unittest

import aiohttp

from rosemaryridge import codes
from rosemaryridge.model import Endpoint
from rosemaryridge.telemetry import GROUP_TERM
from rosemaryridge.telemetry import AdminServer
from rosemaryridge.telemetry import Metrics
from rosemaryridge.telemetry import Pages


class AdminServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.metrics = Metrics()
        self.pages = Pages()
        server = AdminServer(Endpoint("127.0.0.1", 0), self.metrics, self.pages)
        self.url = f"http://{await server.start()}"
        self.addAsyncCleanup(server.stop)
        self.http = aiohttp.ClientSession()
        self.addAsyncCleanup(self.http.close)

    async def get(self, path):
        async with self.http.get(self.url + path) as resp:
            return resp.status, await resp.text()

    async def post(self, path, body):
        async with self.http.post(self.url + path, json=body) as resp:
            return resp.status, await resp.json()

    async def test_is_ready_if_every_condition_holds(self):
        known = []
        self.pages.condition("services are known")(lambda: bool(known))
        self.assertEqual((await self.get("/healthz"))[0], 200)
        status, text = await self.get("/readyz")
        self.assertEqual(status, 503)
        self.assertIn("services are known", text)
        known.append(1)
        self.assertEqual((await self.get("/readyz"))[0], 200)

    async def test_refreshes_gauges_before_rendering_metrics(self):
        self.metrics.refuse(codes.limits.SHED, "vialbook")
        self.pages.gauge_refresher(lambda: self.metrics.set(GROUP_TERM, 7, "vialbook"))
        _, page = await self.get("/metrics")
        self.assertIn('rosemaryridge_group_term{service="vialbook"} 7', page)
        self.assertIn('{code="shed",service="vialbook"} 1', page)

    async def test_serves_sections(self):
        self.pages.section("one")(lambda: {"a": 1})
        self.pages.section("two")(lambda: {"b": 2})
        self.assertEqual(await self.get("/status/two"), (200, '{"two":{"b":2}}'))
        self.assertIn('"one":', (await self.get("/status"))[1])
        self.assertEqual((await self.get("/status/three"))[0], 404)

    async def test_runs_commands(self):
        @self.pages.command("double")
        async def double(args):
            return {"result": int(args["number"]) * 2}

        answer = await self.post("/commands/double", {"number": "21"})
        self.assertEqual(answer, (200, {"result": 42}))
        self.assertEqual((await self.post("/commands/double", {"number": "x"}))[0], 400)
        self.assertEqual((await self.post("/commands/double", ["x"]))[0], 400)
        self.assertEqual((await self.post("/commands/none", {}))[0], 404)

    def test_rejects_a_duplicate_name(self):
        self.pages.section("one")(dict)
        with self.assertRaises(ValueError):
            self.pages.section("one")(dict)


if __name__ == "__main__":
    unittest.main()
