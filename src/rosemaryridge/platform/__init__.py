"""Speak to the users' platform: the only place that knows its names and formats."""
