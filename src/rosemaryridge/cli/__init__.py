"""Offer the programs of the command line."""
