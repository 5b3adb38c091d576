"""Stand in for targets, the platform and the network, and measure the product."""
