"""Serve database groups to callers through proxies with session consistency."""

__version__ = "0.1.0"
