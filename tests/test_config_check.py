"""Test that faults of a configuration are found before it is sent."""

import copy
import json
import pathlib
import tempfile
import unittest

from click.testing import CliRunner
from hypothesis import given
from hypothesis import strategies as st

from rosemaryridge.cli import ctl
from rosemaryridge.cli._config_check import make_report
from rosemaryridge.config_check import Assumptions
from rosemaryridge.core.businesses import fingerprint
from rosemaryridge.platform import documents
from tests.test_platform_documents import JSON

ROUTE = {
    "name": "r-1",
    "database": "orders",
    "path_prefix": "/",
    "type": "primary",
    "timeout_ms": 300,
    "target_latency_ms": 1000,
    "priority": 0,
    "service": "books",
    "retry_attempts": 2,
    "max_staleness_ms": 1500,
    "allow_anonymous": False,
}
GOOD = {
    "version": 7,
    "routes": [ROUTE],
    "services": [{"name": "books", "max_conns": 100, "sync_replicas": 0}],
    "limits": {"tx_idle_ms": 2000, "max_body_bytes": 262144},
    "tenants": [
        {"name": "shop", "api_keys": ["k1", "k2"], "rate_per_s": 20, "burst": 20},
        {"name": "bank", "api_keys": ["k3"], "rate_per_s": 5, "burst": 5},
    ],
}
KNOWN = Assumptions(proxies=20, slots=9, work_s=0.02, replica_lag_s=0.05, grace_s=6.0)


def changed(path, value):
    """Return GOOD with one value replaced, or removed if it is `...`."""
    spec = copy.deepcopy(GOOD)
    *parents, last = path
    holder = spec
    for name in parents:
        holder = holder[name]
    if value is ...:
        del holder[last]
    else:
        holder[last] = value
    return spec


def paths(value, prefix=()):
    """Return the path of each value within a document."""
    entries = value.items() if isinstance(value, dict) else enumerate(value)
    for name, inner in entries:
        yield (*prefix, name)
        if isinstance(inner, dict | list):
            yield from paths(inner, (*prefix, name))


def found(spec, in_force=None, assumptions=KNOWN, allowed=()):
    report = make_report(spec, in_force, assumptions, allowed)
    return {finding.code.name: finding for finding in report.findings}


class FieldTest(unittest.TestCase):
    def test_a_good_configuration_has_no_findings(self):
        self.assertEqual(found(GOOD), {})

    def test_all_faults_are_told_at_once_with_their_paths(self):
        spec = changed(("routes", 0, "type"), "primry")
        spec["routes"][0]["timeout_ms"] = "300"
        spec["services"][0]["max_conns"] = 0
        del spec["limits"]["tx_idle_ms"]
        report = make_report(spec, None, KNOWN, ())
        self.assertEqual(
            [finding.path for finding in report.findings],
            ["routes[0].timeout_ms", "services[0].max_conns", "limits.tx_idle_ms"],
        )

    def test_a_near_miss_is_suggested(self):
        spec = changed(("routes", 0, "max_stalenes_ms"), 5)
        self.assertIn("max_staleness_ms", found(spec)["unknown_field"].text)

    def test_an_unknown_type_is_told_with_the_known_ones(self):
        finding = found(changed(("routes", 0, "type"), "primry"))["unreadable_field"]
        self.assertIn("read_your_writes", finding.text)

    def test_what_is_no_configuration_is_told(self):
        for spec in (None, 3, [], "x", {}):
            self.assertIn("unreadable_field", found(spec))

    @given(JSON)
    def test_no_document_gives_a_crash(self, spec):
        found(spec)

    @given(st.sampled_from(sorted(paths(GOOD), key=str)), JSON | st.just(...))
    def test_each_mutation_that_proxies_refuse_is_found(self, path, value):
        spec = changed(path, value)
        names = found(spec)
        try:
            documents.decode_config(spec)
        except documents.UnreadableDocument:
            self.assertIn("unreadable_field", names)


class RuleTest(unittest.TestCase):
    def assert_found(self, name, path, spec, assumptions=KNOWN):
        findings = found(spec, assumptions=assumptions)
        self.assertEqual([*findings], [name])
        self.assertEqual(findings[name].path, path)

    def test_two_routes_of_one_database(self):
        spec = changed(("routes",), [ROUTE, ROUTE])
        self.assert_found("duplicate_route", "routes[1]", spec)

    def test_a_service_that_is_not_there(self):
        spec = copy.deepcopy(GOOD)
        spec["routes"].append({**ROUTE, "database": "own", "service": "boks"})
        self.assert_found("route_without_service", "routes[1].service", spec)

    def test_a_service_that_no_route_names(self):
        spec = copy.deepcopy(GOOD)
        spec["services"].append({"name": "shelves", "max_conns": 100})
        self.assert_found("unused_service", "services[1]", spec)

    def test_a_business_without_keys(self):
        spec = changed(("tenants", 1, "api_keys"), [])
        self.assert_found("business_without_key", "tenants[1].api_keys", spec)

    def test_no_business_has_a_key(self):
        for businesses in ([{"name": "shop", "api_keys": []}], []):
            spec = changed(("tenants",), businesses)
            self.assertIn("no_callers", found(spec))

    def test_a_key_of_two_businesses_is_named_by_its_fingerprint(self):
        spec = changed(("tenants", 1, "api_keys"), ["k2"])
        self.assert_found("shared_key", "tenants[1].api_keys", spec)
        text = found(spec)["shared_key"].text
        self.assertIn(fingerprint(b"k2"), text)
        self.assertNotIn("k2", text)

    def test_a_name_that_targets_cannot_be_told(self):
        spec = changed(("tenants", 1, "name"), "two words")
        self.assert_found("business_name", "tenants[1].name", spec)

    def test_a_business_that_is_there_twice(self):
        spec = changed(("tenants", 1, "name"), "shop")
        self.assertIn("business_name", found(spec))

    def test_an_open_route_beside_businesses(self):
        spec = changed(("routes", 0, "allow_anonymous"), True)
        self.assert_found("open_route", "routes[0].allow_anonymous", spec)

    def test_retries_that_do_not_fit_in_the_latency_aimed_at(self):
        spec = changed(("routes", 0, "timeout_ms"), 1000)
        self.assert_found("retries_too_long", "routes[0].retry_attempts", spec)

    def test_an_age_bound_below_the_lag_of_replicas(self):
        spec = changed(("routes", 0, "max_staleness_ms"), 20)
        self.assert_found("age_below_lag", "routes[0].max_staleness_ms", spec)

    def test_quotas_beyond_the_slots(self):
        spec = changed(("tenants", 0, "rate_per_s"), 446)
        self.assert_found("quotas_beyond_slots", "tenants", spec)

    def test_fewer_connections_than_proxies_or_businesses(self):
        spec = changed(("services", 0, "max_conns"), 19)
        self.assert_found("few_connections", "services[0].max_conns", spec)
        spec = changed(("services", 0, "max_conns"), 1)
        names = found(spec, assumptions=Assumptions())
        self.assertIn("businesses", names["few_connections"].text)

    def test_a_burst_below_one_operation(self):
        spec = changed(("tenants", 1, "burst"), 0.5)
        self.assert_found("small_burst", "tenants[1].burst", spec)

    def test_transactions_that_rest_beyond_a_stop(self):
        spec = changed(("limits", "tx_idle_ms"), 3001)
        self.assert_found("long_rest", "limits.tx_idle_ms", spec)

    def test_a_version_that_is_not_newer(self):
        self.assertIn("version_not_newer", found(GOOD, GOOD))

    def test_a_finding_can_be_allowed_by_its_name(self):
        spec = changed(("routes", 0, "allow_anonymous"), True)
        self.assertEqual(found(spec, allowed=("open_route",)), {})


class ChangeTest(unittest.TestCase):
    def changes(self, spec):
        return make_report({**spec, "version": 8}, GOOD, KNOWN, ()).changes

    def test_the_same_configuration_changes_nothing(self):
        spec = copy.deepcopy(GOOD)
        spec["tenants"].reverse()
        self.assertEqual(self.changes(spec), [])

    def test_a_key_taken_away_is_named_by_its_fingerprint(self):
        (change,) = self.changes(changed(("tenants", 0, "api_keys"), ["k1"]))
        self.assertIn(fingerprint(b"k2"), change)
        self.assertIn("sessions end", change)
        self.assertNotIn("k2", change.replace(fingerprint(b"k2"), ""))

    def test_routes_quotas_and_limits(self):
        spec = changed(("routes", 0, "type"), "read_your_writes")
        spec["routes"].append({**ROUTE, "database": "own"})
        spec["tenants"][1]["rate_per_s"] = 2
        spec["services"][0]["max_conns"] = 50
        spec["limits"]["tx_idle_ms"] = 1000
        text = "\n".join(self.changes(spec))
        for part in (
            "database orders: consistency primary -> session, from the next",
            "database own: new, served by books",
            "bank: quota 5/s and a burst of 5 -> 2/s and a burst of 5",
            "service books: connections to a target 100 -> 50",
            "transactions may rest 2 s -> 1 s",
        ):
            self.assertIn(part, text)

    def test_what_is_removed(self):
        spec = changed(("tenants",), GOOD["tenants"][:1])
        spec["routes"] = [{**ROUTE, "database": "own"}]
        text = "\n".join(self.changes(spec))
        self.assertIn("business bank: removed; its sessions end", text)
        self.assertIn("database orders: its route is removed", text)


EXAMPLE = pathlib.Path(__file__).parents[1] / "examples/platform/config.json"


class ExampleTest(unittest.TestCase):
    def test_the_example_has_no_findings(self):
        command = ["config", "check", str(EXAMPLE), "--proxies", "15"]
        result = CliRunner().invoke(ctl.main, command)
        self.assertEqual((result.exit_code, result.output), (0, "0 findings\n"))


class CommandTest(unittest.TestCase):
    def run_check(self, spec, *args):
        with tempfile.TemporaryDirectory() as directory:
            path = pathlib.Path(directory, "config.json")
            path.write_text(spec if isinstance(spec, str) else json.dumps(spec))
            against = pathlib.Path(directory, "against.json")
            against.write_text(json.dumps(GOOD))
            words = [str(against) if word == "GOOD" else word for word in args]
            command = ["config", "check", str(path), *words]
            return CliRunner().invoke(ctl.main, command)

    def test_the_exit_status_tells_what_was_found(self):
        self.assertEqual(self.run_check(GOOD).exit_code, 0)
        self.assertEqual(self.run_check({**GOOD, "version": "x"}).exit_code, 1)
        for text in ("{", "[" * 100_000):
            self.assertEqual(self.run_check(text).exit_code, 2)

    def test_findings_and_changes_as_json(self):
        spec = changed(("tenants", 1, "api_keys"), [])
        result = self.run_check({**spec, "version": 8}, "--against", "GOOD", "--json")
        report = json.loads(result.output)
        self.assertEqual(report["findings"][0]["name"], "business_without_key")
        self.assertEqual(len(report["changes"]), 1)

    def test_a_store_that_is_not_there_is_told(self):
        result = self.run_check(GOOD, "--in-force", "127.0.0.1:1")
        self.assertEqual(result.exit_code, 2)
