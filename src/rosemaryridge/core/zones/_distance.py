"""Tell how far failure domains are from each other."""

import collections
import enum
import typing as t


class Distance(enum.IntEnum):
    """Order failure domains by their distance from one."""

    SAME_DOMAIN = 0
    SAME_REGION = 1
    OTHER_REGION = 2


class Surroundings:
    """Hold a proxy's failure domain and the region of each failure domain."""

    def __init__(self, failure_domain: str, regions: t.Mapping[str, str]):
        self.failure_domain = failure_domain
        self._regions = regions

    @property
    def has_neighbours(self) -> bool:
        """Return whether any region has several failure domains."""
        counts = collections.Counter(self._regions.values())
        return max(counts.values(), default=0) > 1

    def region_of(self, failure_domain: str) -> str:
        """Return the region of a failure domain, or itself if it is unknown."""
        return self._regions.get(failure_domain, failure_domain)

    def distance_to(self, failure_domain: str) -> Distance:
        """Return the distance to another failure domain."""
        if failure_domain == self.failure_domain:
            return Distance.SAME_DOMAIN
        region = self._regions.get(self.failure_domain)
        if region is not None and self._regions.get(failure_domain) == region:
            return Distance.SAME_REGION
        return Distance.OTHER_REGION
