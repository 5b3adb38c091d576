"""Emulate the network: TCP links that can be delayed, cut and silenced."""

from rosemaryridge_testbed.link._flow import Channel
from rosemaryridge_testbed.link._flow import LinkFaults
from rosemaryridge_testbed.link._link import Link
from rosemaryridge_testbed.link._link import LinkSpec
from rosemaryridge_testbed.link._server import run_links

__all__ = ["Channel", "Link", "LinkFaults", "LinkSpec", "run_links"]
