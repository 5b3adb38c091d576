"""Divide the connections that a target accepts among the proxies."""

# Share of a target's connections that is reserved for proxies not yet counted.
_RESERVED_SHARE = 0.1


class Shares:
    """Compute this proxy's share of a target's connections.

    If all proxies lose power at once, targets count the connections of the dead
    processes for another 3 s. So a proxy takes half its share while it has just
    started, and one connection per target until the proxies are counted.
    """

    def __init__(self) -> None:
        # The number of live proxies; 0 until they are counted.
        self.proxy_count = 0
        self.just_started = True

    def limit_for(self, connections: int) -> int:
        """Return how many connections to a target this proxy may open.

        `connections` is how many the target accepts from all proxies.
        """
        if not self.proxy_count:
            return 1
        share = connections * (1.0 - _RESERVED_SHARE) / self.proxy_count
        return max(1, int(share / 2.0 if self.just_started else share))

    def fewer_than_proxies(self, connections: int) -> bool:
        """Return whether a target accepts fewer connections than there are proxies."""
        return connections < self.proxy_count
