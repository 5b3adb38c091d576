"""Test that concurrent fleets never share a port."""

import pathlib
import tempfile
import unittest

from rosemaryridge_testbed.fleet._ports import PortBlock


class TestPortBlock(unittest.TestCase):
    def setUp(self):
        directory = tempfile.TemporaryDirectory()
        self.addCleanup(directory.cleanup)
        self.directory = pathlib.Path(directory.name)

    def test_blocks_of_two_owners_are_disjoint(self):
        first, second = self.block(), self.block()
        self.assertFalse(set(first.ports) & set(second.ports))

    def test_a_closed_block_is_reused(self):
        first = self.block()
        first.close()
        self.assertEqual(self.block().ports, first.ports)

    def test_allocated_ports_are_distinct_and_in_the_block(self):
        block = self.block()
        ports = block.free(f"name-{index}" for index in range(40))
        self.assertEqual(len(set(ports.values())), 40)
        self.assertLessEqual(set(ports.values()), set(block.ports))

    def test_a_port_is_not_reused_before_its_process_can_bind_it(self):
        block = self.block()
        allocated = [block.free(["name"])["name"] for _ in range(200)]
        self.assertEqual(len(set(allocated)), 200)

    def block(self):
        block = PortBlock(self.directory)
        self.addCleanup(block.close)
        return block


if __name__ == "__main__":
    unittest.main()
