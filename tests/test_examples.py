import json
import pathlib
import tempfile
import unittest

from rosemaryridge.cli._collect import collect
from rosemaryridge.config import load_settings
from rosemaryridge.exceptions import SettingsError
from rosemaryridge.request import ServicePolicy
from rosemaryridge.wire import Verifier

EXAMPLES = pathlib.Path(__file__).parents[1] / "examples"


class ExamplesTest(unittest.TestCase):
    def services(self, name):
        return [parsed.service for parsed in collect([str(EXAMPLES / name)])]

    def check_sizes(self, name, domains, slots, connections):
        services = self.services(name)
        self.assertEqual(len(services), 3)
        for service in services:
            found_domains = [target.failure_domain for target in service.targets]
            self.assertEqual(found_domains, domains)
            for target in service.targets:
                self.assertEqual(target.slots, slots)
                self.assertEqual(target.max_connections, connections)
            for account in service.accounts:
                Verifier.parse(account.verifier)

    def test_kandjimi_has_the_sizes_of_its_targets(self):
        self.check_sizes("kandjimi", ["khomas-a", "oshana-a", "erongo-a"], 3, 45)

    def test_suva_has_the_sizes_of_its_targets(self):
        self.check_sizes("suva", ["suva", "labasa", "lakeba"], 5, 140)

    def matched_rules(self, name, statements):
        policy = ServicePolicy(self.services(name)[0])
        return [policy.rule(statement).name for statement in statements]

    def test_kandjimi_rules_match_its_statements(self):
        statements = [
            "INSERT INTO charges VALUES ($1)",
            "update boxes set vial = $1",
            "SELECT * FROM scents WHERE family = $1",
            "INSERT INTO parcel_events VALUES ($1)",
            "SELECT 1",
        ]
        expected = ["checkout", "checkout", "catalogue", "tracking", "default"]
        self.assertEqual(self.matched_rules("kandjimi", statements), expected)

    def test_suva_rules_match_its_statements(self):
        statements = [
            "INSERT INTO claims VALUES ($1)",
            "UPDATE listings SET open = false",
            "SELECT * FROM listings WHERE open",
            "SELECT * FROM claims WHERE recipient = $1",
            "UPDATE pickups SET done = true",
        ]
        expected = ["claim", "claim", "open-listings", "claim-history", "pickup"]
        self.assertEqual(self.matched_rules("suva", statements), expected)

    def test_settings_lack_only_the_password_file(self):
        for name in ("kandjimi", "suva"):
            path = EXAMPLES / name / "entry-1.settings.json"
            with self.assertRaises(SettingsError) as caught:
                load_settings(path)
            (fault,) = caught.exception.faults
            self.assertEqual(fault.path, "targets.password_file")
            with tempfile.TemporaryDirectory() as folder:
                secret = pathlib.Path(folder) / "password"
                secret.write_text("secret")
                text = path.read_text()
                quoted_path = json.dumps(str(secret))
                text = text.replace('"/etc/rosemaryridge/target-password"', quoted_path)
                copy = pathlib.Path(folder) / "settings.json"
                copy.write_text(text)
                self.assertEqual(load_settings(copy).targets.password, "secret")


if __name__ == "__main__":
    unittest.main()
