import pathlib
import re
import tomllib
import unittest

from rosemaryridge.cli._reference import fill
from rosemaryridge.codes import all_codes
from rosemaryridge.config import ProxySettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import describe
from rosemaryridge.telemetry import Metrics
from rosemaryridge.telemetry import all_metrics

ROOT = pathlib.Path(__file__).parents[1]
DOCS = ROOT / "docs"
SOURCE = ROOT / "src" / "rosemaryridge"
TABLES = {
    "codes": "CODES.md",
    "metrics": "OPERATIONS.md",
    "settings": "CONFIGURATION.md",
    "service": "CONFIGURATION.md",
}


def read_page(name):
    return (DOCS / name).read_text()


class TablesTest(unittest.TestCase):
    def test_tables_match_the_registries(self):
        for table, name in TABLES.items():
            with self.subTest(table):
                text = read_page(name)
                self.assertEqual(text, fill(text, table), "run `make docs`")

    def test_every_key_has_a_description(self):
        for kind in (ProxySettings, ServiceConfig):
            for key in describe(kind):
                self.assertTrue(key.meaning, key.path)

    def test_every_metric_has_a_row(self):
        text = read_page("OPERATIONS.md")
        for spec in all_metrics():
            self.assertIn(f"| `{spec.name}` |", text)

    def test_alerts_name_existing_metrics_and_codes(self):
        text = read_page("OPERATIONS.md").partition("## Alerts")[2]
        names = {spec.name for spec in all_metrics()}
        used = set(re.findall(r"rosemaryridge_\w+", text))
        self.assertEqual(used - names, set())
        known = {code.name for code in all_codes()}
        for group in re.findall(r'code=~?"([^"]+)"', text):
            self.assertEqual(set(group.replace("\\|", "|").split("|")) - known, set())


class CodesTest(unittest.TestCase):
    def test_every_code_has_a_counter_and_a_row(self):
        metrics = Metrics()
        text = read_page("CODES.md")
        for code in all_codes():
            metrics.refuse(code)
            self.assertIn(f"| {code.number} | `{code.name}` |", text)
        counted = metrics.render().decode()
        for code in all_codes():
            self.assertIn(f'code="{code.name}"', counted)

    def test_every_code_is_used(self):
        paths = [p for p in SOURCE.rglob("*.py") if p.parent.name != "codes"]
        text = "\n".join(path.read_text() for path in paths)
        for code in all_codes():
            use = re.search(rf"\b{code.name.upper()}\b", text)
            self.assertTrue(use, f"{code.name} is not used in the source")


class DependenciesTest(unittest.TestCase):
    def test_every_library_has_a_row(self):
        project = tomllib.loads((ROOT / "pyproject.toml").read_text())["project"]
        extras = project["optional-dependencies"].values()
        requirements = [
            *project["dependencies"],
            *(item for extra in extras for item in extra),
        ]
        text = read_page("DEPENDENCIES.md")
        for requirement in requirements:
            name = re.match(r"[\w-]+", requirement)[0]
            self.assertIn(f"| `{name}` |", text)


if __name__ == "__main__":
    unittest.main()
