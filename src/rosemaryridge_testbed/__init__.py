"""Emulate targets, the platform and the network; test and measure the proxy."""
