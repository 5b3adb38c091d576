"""Provide a proxy for database groups with session consistency."""

__version__ = "0.1.0"
