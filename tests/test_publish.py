import json
import pathlib
import random
import tempfile
import unittest

from click.testing import CliRunner

from rosemaryridge import codes
from rosemaryridge.cli._common import exit_status
from rosemaryridge.cli.publish import main
from rosemaryridge.codes import all_codes
from rosemaryridge.config import Publication
from rosemaryridge.config import Publisher
from rosemaryridge.config import RevisionConflict
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.config import decode_service
from rosemaryridge.config import differences
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.timer import LoopTimer
from rosemaryridge_testbed.virtual import VirtualStore


def service(name="vialbook", slots=3, port=1):
    target = TargetConfig("a", Endpoint("10.0.0.1", port), "suva", slots=slots)
    return ServiceConfig(name, 0, "db", (target,))


class LosingStore(VirtualStore):
    """Run each write, but raise StoreUnavailable for the next `answers_to_lose`."""

    def __init__(self):
        super().__init__()
        self.answers_to_lose = 0

    async def put(self, kind, name, value, expected):
        version = await super().put(kind, name, value, expected)
        if self.answers_to_lose:
            self.answers_to_lose -= 1
            raise StoreUnavailable("lost")
        return version


class PublisherTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.store = LosingStore()

    def publisher(self, seed=1):
        return Publisher(self.store, LoopTimer(), random.Random(seed), 2.0)

    async def publish(self, config, by="ana"):
        publisher = self.publisher()
        plan = await publisher.plan(config)
        return await publisher.publish(plan, Publication(by, "now", ""))

    async def stored(self, name="vialbook"):
        obj = await self.store.get("service", name)
        return decode_service(obj.value, obj.version)

    async def test_adds_the_replaced_revision_to_the_history(self):
        first = await self.publish(service(slots=3))
        second = await self.publish(service(slots=4), by="ben")
        self.assertGreater(second, first)
        self.assertEqual((await self.stored()).targets[0].slots, 4)
        newest, oldest = await self.publisher().history("vialbook")
        self.assertEqual((newest.revision, oldest.revision), (second, first))
        self.assertEqual(newest.publication.by, "ben")
        self.assertEqual(oldest.service().targets[0].slots, 3)

    async def test_publishes_no_revision_without_changes(self):
        first = await self.publish(service())
        self.assertEqual(await self.publish(service()), first)

    async def test_a_conflict_reports_the_other_revision_and_its_changes(self):
        await self.publish(service(slots=3))
        first, second = self.publisher(1), self.publisher(2)
        first_plan = await first.plan(service(slots=5))
        second_plan = await second.plan(service(slots=4))
        published = await second.publish(second_plan, Publication("ben", "now", ""))
        with self.assertRaises(RevisionConflict) as caught:
            await first.publish(first_plan, Publication("ana", "now", ""))
        self.assertIn("ben", str(caught.exception))
        self.assertEqual(caught.exception.theirs.revision, published)
        (change,) = caught.exception.changes
        self.assertEqual(str(change), "targets[a].slots: 3 -> 4")

    async def test_reads_back_writes_whose_answers_were_lost(self):
        await self.publish(service(slots=3))
        self.store.answers_to_lose = 2
        revision = await self.publish(service(slots=4))
        self.assertEqual((await self.stored()).revision, revision)
        self.assertEqual(len(await self.publisher().history("vialbook")), 2)

    async def test_raises_when_the_outcome_stays_unknown(self):
        publisher = Publisher(self.store, LoopTimer(), random.Random(1), 0.2)
        plan = await publisher.plan(service())
        self.store.down = True
        with self.assertRaises(StoreUnavailable):
            await publisher.publish(plan, Publication())


class DifferencesTest(unittest.TestCase):
    def test_matches_entries_by_name_and_hides_secrets(self):
        before = {"accounts": [{"user": "u", "verifier": "S1"}], "targets": []}
        after = {"accounts": [{"user": "u", "verifier": "S2"}, {"user": "v"}]}
        found = {str(change) for change in differences(before, after)}
        self.assertEqual(
            found,
            {
                "accounts[u].verifier: a secret -> a secret",
                "accounts[v].user: nothing -> 'v'",
            },
        )


class CommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = pathlib.Path(folder.name)

    def write(self, name, **changes):
        target = {"name": name, "endpoint": "10.0.0.1:1", "failure_domain": "suva"}
        document = {"name": name, "database": "db", "targets": [target], **changes}
        path = self.folder / name / f"{name}.service.json"
        path.parent.mkdir(exist_ok=True)
        path.write_text(json.dumps(document))

    def run_command(self, *args):
        return CliRunner().invoke(main, args)

    def test_checks_all_services_of_a_directory_together(self):
        self.write("one")
        self.assertEqual(self.run_command("check", str(self.folder)).exit_code, 0)
        self.write("two")
        self.write("three", databse="x")
        result = self.run_command("check", str(self.folder))
        self.assertEqual(result.exit_code, exit_status(codes.config.INVALID_FILE))
        self.assertIn("databse", result.output)
        self.assertIn("did you mean 'database'?", result.output)
        self.assertEqual(result.output.count("an address in only one service"), 2)

    def test_reports_a_directory_without_service_files(self):
        result = self.run_command("check", str(self.folder))
        self.assertIn("no service file", result.output)

    def test_shows_help_and_version(self):
        self.assertIn("roll-forward", self.run_command("--help").output)
        self.assertEqual(self.run_command("--version").exit_code, 0)

    def test_exit_statuses_are_unique(self):
        statuses = [exit_status(code) for code in all_codes()]
        self.assertEqual(len(set(statuses)), len(statuses))
        self.assertTrue(all(2 < status < 256 for status in statuses))


if __name__ == "__main__":
    unittest.main()
