"""Test the choice of experiments of the bench command and the failover model."""

import unittest

import click.testing

from rosemaryridge_testbed.cli import bench
from rosemaryridge_testbed.experiments import _failover
from rosemaryridge_testbed.experiments import _failover_model


class TestBench(unittest.TestCase):
    def run_bench(self, *args):
        return click.testing.CliRunner().invoke(bench.main, args)

    def test_lists_failover_experiments_of_processes_and_model(self):
        names = self.run_bench("--list").output.split()
        expected = {"failover", "failover_model", "false_failover_model"}
        self.assertLessEqual(expected, set(names))

    def test_refuses_an_unknown_experiment(self):
        result = self.run_bench("nothing")
        self.assertEqual(result.exit_code, 2)
        self.assertIn("no experiment 'nothing'", result.output)


class TestFailoverExperiments(unittest.TestCase):
    def test_processes_and_model_have_the_same_deployments_and_stores(self):
        self.assertEqual(set(_failover.DEPLOYMENTS), set(_failover_model.DEPLOYMENTS))
        self.assertEqual(set(_failover.STORES), set(_failover_model.STORES))

    def test_model_gap_is_within_the_bound_of_users(self):
        for name, deployment in _failover_model.DEPLOYMENTS.items():
            for fault in _failover_model.FAULTS.values():
                gap_s, broken = _failover_model.measure_gap(
                    deployment, fault, 1, _failover_model.ModelProxy
                )
                with self.subTest(deployment=name, fault=fault):
                    self.assertLessEqual(gap_s, 2.0)
                    self.assertEqual(broken, 0)
