"""Implement the command-line programs."""
