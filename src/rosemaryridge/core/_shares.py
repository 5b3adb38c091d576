"""Divide the connections that a target takes among the proxies."""

# This part of a target's connections is kept free for proxies that are not counted.
_SPARE_SHARE = 0.1


class Shares:
    """Hold among how many proxies connections are divided.

    It answers all proxies losing power at once: targets count the connections of dead
    ones for 3 s more, so that a proxy which has just started takes half its share, and
    one connection a target before the proxies are counted.
    """

    def __init__(self) -> None:
        # 0 before they are counted.
        self.proxies = 0
        self.just_started = True

    def of(self, connections: int) -> int:
        """Return how many of a target's connections this proxy may open."""
        if not self.proxies:
            return 1
        share = connections * (1.0 - _SPARE_SHARE) / self.proxies
        return max(1, int(share / 2.0 if self.just_started else share))

    def are_scarce(self, connections: int) -> bool:
        """Return whether there is less than one connection for each proxy."""
        return connections < self.proxies
