"""Place keys on members by rendezvous hashing."""

import dataclasses
import heapq

from rosemaryridge.membership._hash import hash64

_BUCKETS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _Ranking:
    vms: tuple[str, ...]
    failure_domains: frozenset[str]
    lowest: int


class Placement:
    """Rank members for keys: first the best of each failure domain, then the rest.

    Rankings are cached; a change of members drops only those that it affects.
    """

    def __init__(self) -> None:
        self._members: dict[str, str] = {}
        self._seeds: dict[str, int] = {}
        self._cache: dict[tuple[str, int], _Ranking] = {}

    def add(self, vm: str, failure_domain: str) -> None:
        """Add a member."""
        if self._members.get(vm) == failure_domain:
            return
        self.remove(vm)
        self._members[vm] = failure_domain
        self._seeds[vm] = hash64(vm)
        for key, ranking in list(self._cache.items()):
            if self._affects(vm, failure_domain, key, ranking):
                del self._cache[key]

    def remove(self, vm: str) -> None:
        """Take a member out."""
        if self._members.pop(vm, None) is None:
            return
        del self._seeds[vm]
        for key in [k for k, one in self._cache.items() if vm in one.vms]:
            del self._cache[key]

    def top(self, key: str, least: int) -> tuple[str, ...]:
        """Return one member of each failure domain and at least so many, ranked."""
        ranking = self._cache.get((key, least))
        if ranking is None:
            ranking = self._cache[key, least] = self._rank(key, least)
        return ranking.vms

    def holders(self, key: str, n: int) -> tuple[str, ...]:
        """Return `n` members for a key, in different failure domains if possible."""
        bucket = hash64(key) % _BUCKETS
        return self.top(f"bucket/{bucket}", n)[:n]

    def nearest(self, vm: str, n: int) -> tuple[str, ...]:
        """Return `n` other members that a member picks as its neighbours."""
        others = (other for other in self._members if other != vm)
        return tuple(
            heapq.nlargest(n, others, key=lambda other: self._score(other, vm))
        )

    def successor(self, vm: str) -> str | None:
        """Return the member that follows on a ring, so that all stay connected."""
        ring = sorted((seed, other) for other, seed in self._seeds.items())
        own = (hash64(vm), vm)
        after = [other for position, other in ring if (position, other) > own]
        if after:
            return after[0]
        return ring[0][1] if ring and ring[0][1] != vm else None

    def _score(self, vm: str, key: str) -> int:
        return hash64(key, self._seeds[vm])

    def _affects(
        self, vm: str, domain: str, key: tuple[str, int], ranking: _Ranking
    ) -> bool:
        if domain not in ranking.failure_domains or len(ranking.vms) < key[1]:
            return True
        return self._score(vm, key[0]) >= ranking.lowest

    def _rank(self, key: str, least: int) -> _Ranking:
        scored = sorted((self._score(vm, key), vm) for vm in self._members)
        scored.reverse()
        best: dict[str, tuple[int, str]] = {}
        for score, vm in scored:
            best.setdefault(self._members[vm], (score, vm))
        chosen = sorted(best.values(), reverse=True)
        rest = [pair for pair in scored if pair not in set(chosen)]
        chosen += rest[: max(0, least - len(chosen))]
        lowest = min((score for score, _ in chosen), default=0)
        vms = tuple(vm for _, vm in chosen)
        return _Ranking(vms, frozenset(best), lowest)
