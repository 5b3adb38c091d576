import pathlib
import tempfile
import unittest

from click.testing import CliRunner

from rosemaryridge_testbed import report
from rosemaryridge_testbed.cli.bench import main


class ReportTest(unittest.TestCase):
    def test_compare_matches_rows_by_their_texts(self):
        before = [{"way": "direct", "ms": 2.0}, {"way": "proxy", "ms": 4.0}]
        after = [{"way": "proxy", "ms": 3.0}, {"way": "new", "ms": 1.0}]
        found = report.compare(before, after)
        self.assertEqual(len(found), 1)
        self.assertEqual(found[0]["row"], "proxy")
        self.assertEqual(found[0]["ratio"], 0.75)

    def test_ratio_to_zero_is_none(self):
        found = report.compare([{"a": "x", "n": 0}], [{"a": "x", "n": 1}])
        self.assertIsNone(found[0]["ratio"])

    def test_results_are_read_back_from_a_file(self):
        results = report.Results("0.1.0", 3, {"one": [{"way": "direct", "ms": 2.0}]})
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "results.json"
            report.write_results(results, path)
            self.assertEqual(report.read_results(path), results)

    def test_plot_writes_a_file(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "one.png"
            report.plot("one", [{"way": "direct", "ms": 2.0}], path)
            self.assertGreater(path.stat().st_size, 0)

    def test_table_columns_are_aligned(self):
        lines = report.format_table([{"a": 1, "long": 22}]).splitlines()
        self.assertEqual(lines, ["a  long", "1    22"])


class BenchTest(unittest.TestCase):
    def test_unknown_experiment_is_named(self):
        result = CliRunner().invoke(main, ["no-such"])
        self.assertEqual(result.exit_code, 2)
        self.assertIn("no-such", result.output)

    def test_list_prints_experiments(self):
        result = CliRunner().invoke(main, ["--list"])
        self.assertIn("read_share", result.output.split())


if __name__ == "__main__":
    unittest.main()
