import pathlib
import tempfile
import unittest

from rosemaryridge.config import Priority
from rosemaryridge.config import decode_service
from rosemaryridge.config import encode_service
from rosemaryridge.config import load_service
from rosemaryridge.config import load_settings
from rosemaryridge.config import reload_settings
from rosemaryridge.exceptions import SettingsError

SETTINGS = """{
  // A comment.
  vm: "vm-1", failure_domain: "khomas-a",
  platform: {base_url: "http://127.0.0.1:8080"},
  callers: {listen: "127.0.0.1:7000"},
}"""
SERVICE = """{
  name: "vialbook", database: "vialbook",
  targets: [
    {name: "a", endpoint: "10.0.0.1:5432", failure_domain: "khomas-a"},
    {name: "b", endpoint: "10.0.0.2:5432", failure_domain: "oshana-a"},
  ],
  businesses: [{name: "shop", share: 0.6}],
  rules: [{name: "browse", pattern: "^SELECT", max_age_s: 5, priority: "background"}],
}"""


class FileTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.path = pathlib.Path(folder.name) / "file.json"

    def write(self, text):
        self.path.write_text(text)
        return self.path

    def faults(self, load, text):
        with self.assertRaises(SettingsError) as caught:
            load(self.write(text))
        return {fault.path: fault for fault in caught.exception.faults}


class SettingsTest(FileTest):
    def test_reads_comments_and_defaults(self):
        settings = load_settings(self.write(SETTINGS))
        self.assertEqual(str(settings.callers.listen), "127.0.0.1:7000")
        self.assertEqual(settings.drain.deadline_s, 30.0)

    def test_reports_every_fault_at_once(self):
        text = """{vm: "", failure_domian: "x", platform: {base_url: "ftp://x"},
          callers: {max_callers: "many", listen: "localhost:1"},
          group: {jitter: 2}, log: {level: "loud"}, drain: {deadline_s: -1}}"""
        faults = self.faults(load_settings, text)
        self.assertEqual(
            set(faults),
            {
                "vm",
                "failure_domain",
                "failure_domian",
                "platform.base_url",
                "callers.max_callers",
                "callers.listen",
                "group.jitter",
                "log.level",
                "drain.deadline_s",
            },
        )
        self.assertIn("'failure_domain'", faults["failure_domian"].allowed)
        self.assertEqual(faults["callers.max_callers"].found, "'many'")
        self.assertEqual(faults["group.jitter"].allowed, "0 to 1")
        self.assertEqual(faults["log.level"].file, str(self.path))

    def test_rejects_two_listeners_on_one_address(self):
        text = SETTINGS.replace("7000", "6433")
        self.assertIn("peers.listen", self.faults(load_settings, text))

    def test_rejects_fault_switches_unless_enabled(self):
        text = SETTINGS[:-1] + "faults: {skip_fencing: true}}"
        self.assertIn("faults.skip_fencing", self.faults(load_settings, text))
        text = SETTINGS[:-1] + "faults: {enabled: true, skip_fencing: true}}"
        self.assertTrue(load_settings(self.write(text)).faults.skip_fencing)

    def test_reads_the_password_from_a_file(self):
        secret = self.path.with_name("password")
        secret.write_text("pa55\n")
        text = SETTINGS[:-1] + f'targets: {{password_file: "{secret}"}}}}'
        settings = load_settings(self.write(text))
        self.assertEqual(settings.targets.password, "pa55")
        self.assertNotIn("pa55", repr(settings))

    def test_hides_an_invalid_secret(self):
        text = SETTINGS[:-1] + "targets: {password: 12345}}"
        fault = self.faults(load_settings, text)["targets.password"]
        self.assertNotIn("12345", str(fault))

    def test_reports_a_malformed_or_missing_file(self):
        self.assertIn("(document)", self.faults(load_settings, "{vm: }"))
        self.assertIn("(document)", self.faults(load_settings, "{vm: 'a', vm: 'b'}"))
        with self.assertRaises(SettingsError):
            load_settings(self.path.with_name("missing"))


class ReloadTest(FileTest):
    def test_applies_live_settings_and_lists_those_that_need_a_restart(self):
        current = load_settings(self.write(SETTINGS))
        text = SETTINGS.replace("7000", "7001")[:-1]
        text += 'drain: {deadline_s: 9}, log: {level: "debug"}, group: {jitter: 0.5}}'
        reload = reload_settings(current, load_settings(self.write(text)))
        self.assertEqual(reload.applied, ("drain.deadline_s", "log.level"))
        self.assertEqual(reload.waiting, ("callers.listen", "group.jitter"))
        self.assertEqual(reload.settings.drain.deadline_s, 9.0)
        self.assertEqual(reload.settings.callers, current.callers)
        self.assertEqual(reload.settings.group, current.group)


class ServiceTest(FileTest):
    def test_reads_a_service(self):
        service = load_service(self.write(SERVICE))
        self.assertEqual(service.revision, 0)
        self.assertEqual(service.targets[1].failure_domain, "oshana-a")
        self.assertEqual(service.rules[0].priority, Priority.BACKGROUND)

    def test_encoding_for_the_store_round_trips(self):
        service = load_service(self.write(SERVICE))
        stored = decode_service(encode_service(service), 7)
        self.assertEqual(stored.revision, 7)
        self.assertEqual(encode_service(stored), encode_service(service))

    def test_rejects_inconsistent_entries(self):
        text = """{name: "Vial Book", database: "d", revision: 3,
          targets: [
            {name: "a", endpoint: "10.0.0.1:1", failure_domain: "x", slots: 9,
             max_connections: 8},
            {name: "a", endpoint: "10.0.0.1:1", failure_domain: "x"}],
          businesses: [{name: "shop", share: 0.7}, {name: "desk", share: 0.4}],
          accounts: [{user: "u", business: "ship", verifier: "SCRAM-SHA-256$1:a$b:c"}],
          read_functions: ["Now"]}"""
        faults = self.faults(load_service, text)
        self.assertEqual(
            set(faults),
            {
                "revision",
                "name",
                "targets[0].name",
                "targets[1].name",
                "targets[0].endpoint",
                "targets[1].endpoint",
                "targets[0].slots",
                "accounts[0].business",
                "businesses",
                "read_functions[0]",
            },
        )

    def test_rejects_an_invalid_pattern_and_verifier(self):
        text = SERVICE.replace("^SELECT", "(").replace(
            "rules:", 'accounts: [{user: "u", business: "shop", verifier: "x"}], rules:'
        )
        faults = self.faults(load_service, text)
        self.assertEqual(set(faults), {"rules[0].pattern", "accounts[0].verifier"})

    def test_rejects_a_stored_value_that_is_not_json(self):
        with self.assertRaises(SettingsError):
            decode_service(b"\xff{", 3)


if __name__ == "__main__":
    unittest.main()
