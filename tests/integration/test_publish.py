"""Test publishing with real processes, in races, outages and after lost answers."""

import asyncio
import dataclasses
import json
import pathlib
import random
import sys
import unittest

from rosemaryridge import codes
from rosemaryridge.cli._common import exit_status
from rosemaryridge.config import Publication
from rosemaryridge.config import Publisher
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import decode_service
from rosemaryridge.config import encode_service
from rosemaryridge.config import to_plain
from rosemaryridge.exceptions import Refusal
from rosemaryridge.objects import HttpObjectStore
from rosemaryridge.objects import PlatformSettings
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import LoopTimer
from rosemaryridge_testbed.fleet import SERVICE
from rosemaryridge_testbed.fleet import FleetOptions
from rosemaryridge_testbed.fleet import eventually
from tests.integration.fleet_case import FleetCase

# Accepted revisions are in force within seconds; the limit allows for slow machines.
IN_FORCE_TIMEOUT_S = 20.0
CONFLICT = exit_status(codes.config.REVISION_CONFLICT)


class PublishTest(FleetCase):
    options = FleetOptions(proxies=4, settings={"services": {"watchers": 2}})

    @classmethod
    async def prepare(cls):
        cls.url = f"http://127.0.0.1:{cls.fleet.ports['platform']}"
        cfg = PlatformSettings(cls.url, calls_per_s=1000, call_burst=1000)
        cls.store = HttpObjectStore(cfg, LoopTimer(), Metrics())

    @classmethod
    def setUpClass(cls):
        super().setUpClass()
        cls.addClassCleanup(lambda: cls._runner.run(cls.store.close()))

    async def begin(self):
        await self.fleet.admin.set_platform(outage=False, silent=False, lose_answers=0)
        await self.wait_in_force((await self.stored()).revision)

    async def stored(self) -> ServiceConfig:
        entry = await self.store.get("service", SERVICE)
        return decode_service(entry.value, entry.version)

    async def write_file(self, deadline_s: float) -> pathlib.Path:
        """Write a service file: the published service with another deadline."""
        service = dataclasses.replace(
            await self.stored(), default_deadline_s=deadline_s
        )
        path = self.fleet.directory / f"{deadline_s}.service.json"
        path.write_text(json.dumps(to_plain(service)))
        return path

    async def publish(self, path: pathlib.Path, *options: str) -> tuple[int, str]:
        """Publish a service file; return the exit status and output."""
        return await self.run_publish("publish", str(path), "--yes", *options)

    async def run_publish(self, *args: str) -> tuple[int, str]:
        """Run rosemaryridge-publish; return its exit status and output."""
        module = "rosemaryridge.cli.publish"
        proc = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", module, *args, "--platform", self.url),
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )
        output, _ = await proc.communicate()
        return proc.returncode, output.decode()

    async def services(self, vm: str) -> dict:
        page = await self.fleet.admin.proxy_page(vm, "/status/services")
        return json.loads(page)["services"]

    async def revision_in_force(self, vm: str) -> int:
        """Return the revision that is in force on a proxy."""
        return (await self.services(vm))["services"].get(SERVICE, {}).get("revision", 0)

    async def wait_in_force(self, revision: int, vms: list[str] | None = None) -> None:
        for vm in vms or self.fleet.proxies:
            await eventually(
                lambda vm=vm: self._is_in_force(vm, revision),
                IN_FORCE_TIMEOUT_S,
                f"revision {revision} on {vm}",
            )

    async def _is_in_force(self, vm: str, revision: int) -> bool:
        return await self.revision_in_force(vm) == revision

    async def test_one_of_several_concurrent_publications_succeeds(self):
        before = (await self.stored()).revision
        paths = [await self.write_file(float(n)) for n in (11, 12, 13, 14)]
        runs = [
            self.publish(path, "--expect", f"{SERVICE}={before}", "--by", path.stem)
            for path in paths
        ]
        results = await asyncio.gather(*runs)
        statuses = sorted(status for status, _ in results)
        self.assertEqual(statuses, [0, CONFLICT, CONFLICT, CONFLICT], results)
        winner = next(path for path, r in zip(paths, results, strict=True) if not r[0])
        stored = await self.stored()
        self.assertEqual(str(stored.default_deadline_s), winner.stem[:4])
        losers = [output for status, output in results if status]
        for output in losers:
            self.assertIn(f"{stored.revision}", output)
        await self.wait_in_force(stored.revision)

    async def test_an_accepted_revision_spreads_during_an_outage(self):
        status, output = await self.publish(await self.write_file(21.0))
        self.assertEqual(status, 0, output)
        revision = (await self.stored()).revision
        await self.fleet.admin.set_platform(outage=True)
        await self.wait_in_force(revision)

    async def test_a_revision_is_in_force_after_the_object_api_was_silent(self):
        await self.fleet.admin.set_platform(silent=True)
        await asyncio.sleep(2.0)
        await self.fleet.admin.set_platform(silent=False)
        status, output = await self.publish(await self.write_file(22.0))
        self.assertEqual(status, 0, output)
        await self.wait_in_force((await self.stored()).revision)

    async def test_lost_answers_are_read_back(self):
        before = (await self.stored()).revision
        path = await self.write_file(31.0)
        await self.fleet.admin.set_platform(lose_answers=2)
        status, output = await self.publish(path)
        self.assertEqual(status, 0, output)
        stored = await self.stored()
        self.assertIn(f"revision {stored.revision} is published", output)
        self.assertGreater(stored.revision, before)
        await self.wait_in_force(stored.revision)
        publisher = Publisher(self.store, LoopTimer(), random.Random(1), 10.0)
        history = await publisher.history(SERVICE)
        self.assertEqual(
            [entry.revision for entry in history][:2], [stored.revision, before]
        )

    async def test_earlier_content_is_published_as_a_new_revision(self):
        before = await self.stored()
        path = await self.write_file(51.0)
        _, output = await self.run_publish("diff", str(path))
        self.assertIn(f"default_deadline_s: {before.default_deadline_s} -> 51", output)
        status, output = await self.publish(path, "--by", "ana", "--note", "trial")
        self.assertEqual(status, 0, output)
        changed = (await self.stored()).revision
        status, output = await self.run_publish("history", SERVICE)
        self.assertRegex(output, rf"{changed} .*ana .*default_deadline_s .*trial")
        args = ("roll-forward", SERVICE, str(before.revision), "--yes")
        status, output = await self.run_publish(*args)
        self.assertEqual(status, 0, output)
        after = await self.stored()
        self.assertGreater(after.revision, changed)
        self.assertEqual(after.default_deadline_s, before.default_deadline_s)
        await self.wait_in_force(after.revision)

    async def test_a_proxy_restarted_in_an_outage_gets_services_from_peers(self):
        status, output = await self.publish(await self.write_file(41.0))
        self.assertEqual(status, 0, output)
        revision = (await self.stored()).revision
        await self.wait_in_force(revision)
        await self.fleet.admin.set_platform(outage=True)
        self.fleet.processes.kill("p2")
        self.fleet.processes.restart("p2")
        await self.wait_in_force(revision, ["p2"])
        conn = await eventually(lambda: self.fleet.connect("p2"), IN_FORCE_TIMEOUT_S)
        self.assertEqual(await conn.fetchval("SELECT 1"), 1)
        conn.terminate()

    async def test_a_rejected_revision_leaves_the_earlier_revision_in_force(self):
        service = await self.stored()
        before = service.revision
        await self.store.put("service", SERVICE, b'{"name": "shop"}', before)
        for vm in self.fleet.proxies:
            await eventually(
                lambda vm=vm: self._has_rejected(vm), IN_FORCE_TIMEOUT_S, vm
            )
            self.assertEqual(await self.revision_in_force(vm), before)
            page = await self.fleet.admin.proxy_page(vm, "/metrics")
            self.assertIn('refusals_total{code="revision_rejected"', page)
        broken = await self.store.get("service", SERVICE)
        restored = encode_service(service)
        after = await self.store.put("service", SERVICE, restored, broken.version)
        await self.wait_in_force(after)

    async def _has_rejected(self, vm: str) -> bool:
        return bool((await self.services(vm))["services"][SERVICE]["rejected"])

    async def test_a_burst_of_changes_converges_without_reverting(self):
        seen = {vm: [] for vm in self.fleet.proxies}
        sampling = asyncio.create_task(self._sample_revisions(seen))
        await asyncio.gather(
            *(self._publish_changes(operator) for operator in range(3))
        )
        newest = (await self.stored()).revision
        await self.wait_in_force(newest)
        sampling.cancel()
        for vm, revisions in seen.items():
            self.assertEqual(revisions, sorted(revisions), vm)
            self.assertGreater(len(revisions), 2, vm)

    async def _sample_revisions(self, seen: dict[str, list[int]]) -> None:
        while True:
            for vm, revisions in seen.items():
                revisions.append(await self.revision_in_force(vm))
            await asyncio.sleep(0.02)

    async def _publish_changes(self, operator: int) -> None:
        """Publish many changes concurrently with other operators; ignore conflicts."""
        publisher = Publisher(self.store, LoopTimer(), random.Random(operator), 10.0)
        service = await self.stored()
        for number in range(30):
            deadline_s = 100.0 + operator + number * 3
            changed = dataclasses.replace(service, default_deadline_s=deadline_s)
            plan = await publisher.plan(changed)
            try:
                await publisher.publish(plan, Publication(f"operator {operator}"))
            except Refusal:
                continue


if __name__ == "__main__":
    unittest.main()
