"""Implement the platform's interfaces; no other package uses its names and formats."""
