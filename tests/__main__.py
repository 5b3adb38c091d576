"""Run the tests except those listed in KNOWN-RED.txt and print a summary line."""

import pathlib
import sys
import typing as t
import unittest

TESTS = pathlib.Path(__file__).resolve().parent
KNOWN_RED_FILE = TESTS.parent / "KNOWN-RED.txt"


def _read_known_red() -> set[str]:
    if not KNOWN_RED_FILE.exists():
        return set()
    lines = KNOWN_RED_FILE.read_text().splitlines()
    return {line.split()[1] for line in lines if line.startswith("test: ")}


def _flatten(suite: unittest.TestSuite) -> t.Iterator[unittest.TestCase]:
    for item in suite:
        if isinstance(item, unittest.TestSuite):
            yield from _flatten(item)
        else:
            yield item


def _load_cases(unit_only: bool) -> list[unittest.TestCase]:
    loader = unittest.TestLoader()
    top = str(TESTS.parent)
    suites = [loader.discover(str(TESTS), top_level_dir=top)]
    cases = list(_flatten(unittest.TestSuite(suites)))
    cases.sort(key=lambda case: ".integration." in case.id())
    if unit_only:
        cases = [case for case in cases if ".integration." not in case.id()]
    return cases


def main() -> int:
    """Run the tests; return the exit status of the process."""
    cases = _load_cases("--unit" in sys.argv)
    known_red = _read_known_red()
    suite = unittest.TestSuite(case for case in cases if case.id() not in known_red)
    result = unittest.TextTestRunner(verbosity=2).run(suite)
    for name in sorted(known_red):
        print(f"known red, not run: {name}")
    failed = len(result.failures) + len(result.errors) + len(result.unexpectedSuccesses)
    passed = result.testsRun - failed - len(result.skipped)
    print(f"{passed} passed, {failed} failed, {len(result.skipped)} skipped")
    return 0 if failed == 0 and result.testsRun > 0 else 1


sys.exit(main())
