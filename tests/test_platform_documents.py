import json
import pathlib
import tempfile
import unittest

from hypothesis import given
from hypothesis import strategies as st

from rosemaryridge.core import Consistency
from rosemaryridge.exceptions import SettingsError
from rosemaryridge.model import Endpoint
from rosemaryridge.platform import documents
from rosemaryridge.platform.parts import Unreadable
from rosemaryridge.platform.parts import decode_parts
from rosemaryridge.platform.settings import load_settings

TARGET = {
    "service": "books",
    "address": "10.0.0.9:80",
    "zone": "a",
    "capacity": 3,
    "phase": "ready",
    "warmup_left_ms": 0,
    "db_role": "replica",
    "sequence": 4,
    "born": 1700000000000,
}
CONFIG = {
    "version": 7,
    "routes": [
        {
            "database": "db",
            "type": "read_your_writes",
            "timeout_ms": 1000,
            "target_latency_ms": 600,
            "priority": 2,
            "service": "books",
            "max_staleness_ms": 2500,
        }
    ],
    "services": [{"name": "books", "max_conns": 45}],
    "limits": {"tx_idle_ms": 3000},
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(sorted(TARGET)), inner, max_size=4)
    ),
    max_leaves=8,
)


class TargetTest(unittest.TestCase):
    def test_a_target_is_decoded(self):
        found = documents.decode_target("i-1", TARGET)
        self.assertEqual(found.endpoint, Endpoint("10.0.0.9", 80))
        self.assertEqual((found.slots, found.draining), (3, False))
        self.assertFalse(found.claims_primary)

    def test_an_invalid_target_is_rejected(self):
        for change in (
            {"phase": "leaving"},
            {"db_role": None},
            {"born": "soon"},
            {"born": True},
            {"address": "nowhere"},
            {"service": 7},
            {"capacity": "many"},
            {"capacity": 0},
            {"capacity": 10**400},
            {"born": 2**70},
            {"sequence": float("inf")},
            {"warmup_left_ms": float("nan")},
            {"address": "10.0.0.9:70000"},
            {"address": "a" * 80 + ":80"},
            {"service": "x" * 9000},
        ):
            with (
                self.subTest(change),
                self.assertRaises(documents.UnreadableDocument),
            ):
                documents.decode_target("i-1", TARGET | change)

    @given(JSON)
    def test_any_entry_is_decoded_or_refused(self, spec):
        try:
            documents.decode_target("i-1", spec)
        except documents.UnreadableDocument:
            pass

    def test_invalid_utf8_does_not_affect_other_items(self):
        body = b'{"items": ["\xff\xfe", "good"]}'
        self.assertEqual(documents.decode_body(body)["items"][1], "good")


class PartsTest(unittest.TestCase):
    """Guard against one odd entry that hides the others of an answer."""

    def test_only_the_undecodable_part_is_unreadable(self):
        for odd in ("[" * 100_000 + "]" * 100_000, "9" * 6000, "nope", '"\n"'):
            text = '{"items": [{"a": "]},{"}, {"a": 1, "b": ODD}, []], "c": 2}'
            found = decode_parts(text.replace("ODD", odd), 3)
            self.assertEqual((found["items"][0], found["c"]), ({"a": "]},{"}, 2))
            self.assertEqual(found["items"][1]["a"], 1)
            self.assertIsInstance(found["items"][1]["b"], Unreadable)
            self.assertEqual(found["items"][2], [])

    @given(JSON, JSON, st.integers(0, 4))
    def test_other_members_are_decoded_as_without_the_odd_one(self, one, two, indent):
        whole = json.dumps([{"one": one}, {"odd": "odd", "two": two}], indent=indent)
        found = decode_parts(whole.replace('"odd"', '"odd\n"', 1), 2)
        self.assertEqual(found[0], {"one": one})

    @given(st.text('[]{},:"\\ab1 ', max_size=40))
    def test_any_text_is_decoded_or_unreadable(self, text):
        decode_parts(text, 3)


class ConfigTest(unittest.TestCase):
    def test_a_configuration_is_decoded(self):
        found = documents.decode_config(CONFIG)
        route = found.routes[b"db"]
        self.assertEqual(found.version, 7)
        self.assertIs(route.consistency, Consistency.SESSION)
        self.assertEqual((route.timeout_s, route.max_age_s), (1.0, 2.5))
        self.assertEqual(found.connection_limits["books"], 45)
        self.assertEqual(found.transaction_idle_s, 3.0)

    def test_synchronous_replicas_are_decoded(self):
        services = [
            {"name": "books", "max_conns": 45, "sync_replicas": 1},
            {"name": "notes", "max_conns": 45},
        ]
        config = documents.decode_config(CONFIG | {"services": services})
        self.assertEqual(config.sync_replicas, {"books": 1, "notes": 0})

    @given(JSON)
    def test_any_configuration_is_decoded_or_refused(self, spec):
        try:
            documents.decode_config(spec)
        except documents.UnreadableDocument:
            pass


class SettingsTest(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.path = pathlib.Path(directory.name, "settings.json")

    def _fault(self, text):
        self.path.write_text(text)
        with self.assertRaises(SettingsError) as caught:
            load_settings(str(self.path))
        self.assertEqual(len(str(caught.exception).splitlines()), 1)
        return str(caught.exception)

    def test_faults_are_reported_in_one_line(self):
        self.assertIn("node_name", self._fault(json.dumps({"limits": {}, **_LISTEN})))
        self.assertIn("Expecting", self._fault("{"))
        self._fault("[]")
        self._fault(json.dumps({"node_name": "a", "bind_addrs": 3}))

    def test_bounds_on_revocation_show_that_callers_need_keys(self):
        # Guards against a process that starts after the last business has gone.
        told = {"bounds": {"revoke_ms": 5000}}, {"contracts": ["base", "tenants"]}
        for extra in told:
            self.path.write_text(json.dumps({**_SETTINGS, **extra}))
            self.assertTrue(load_settings(str(self.path)).requires_keys)
        self.path.write_text(json.dumps({**_SETTINGS, "contracts": ["base", "sql"]}))
        self.assertFalse(load_settings(str(self.path)).requires_keys)

    def test_a_missing_file_is_reported(self):
        with self.assertRaises(SettingsError) as caught:
            load_settings(str(self.path))
        self.assertIn("No such file", str(caught.exception))


_LISTEN = {"bind_addrs": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"}}
_SETTINGS = {
    "node_name": "a",
    "zone": "z",
    **_LISTEN,
    "platform": {"address": "127.0.0.1:3"},
    "cloud_api": {"address": "127.0.0.1:4"},
    "limits": {"max_fds": 1600},
}
