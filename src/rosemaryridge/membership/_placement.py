"""Place keys on members by rendezvous hashing."""

import dataclasses
import heapq

from rosemaryridge.membership._hash import hash64

_BUCKETS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class _Ranking:
    vms: tuple[str, ...]
    failure_domains: frozenset[str]
    min_score: int


class Placement:
    """Rank members for keys: first the best of each failure domain, then the rest.

    Rankings are cached; a change of members invalidates only the affected ones.
    """

    def __init__(self) -> None:
        self._failure_domains: dict[str, str] = {}
        self._hash_seeds: dict[str, int] = {}
        self._cache: dict[tuple[str, int], _Ranking] = {}

    def add(self, vm: str, failure_domain: str) -> None:
        """Add a member, or move it to another failure domain."""
        if self._failure_domains.get(vm) == failure_domain:
            return
        self.remove(vm)
        self._failure_domains[vm] = failure_domain
        self._hash_seeds[vm] = hash64(vm)
        for cache_key, ranking in list(self._cache.items()):
            if self._is_affected(vm, failure_domain, cache_key, ranking):
                del self._cache[cache_key]

    def remove(self, vm: str) -> None:
        """Remove a member; ignore an unknown one."""
        if self._failure_domains.pop(vm, None) is None:
            return
        del self._hash_seeds[vm]
        for key in [k for k, ranking in self._cache.items() if vm in ranking.vms]:
            del self._cache[key]

    def top(self, key: str, min_count: int) -> tuple[str, ...]:
        """Return the members ranked for a key.

        The best member of each failure domain comes first, then others until there
        are `min_count` members in all.
        """
        ranking = self._cache.get((key, min_count))
        if ranking is None:
            ranking = self._cache[key, min_count] = self._rank(key, min_count)
        return ranking.vms

    def holders(self, key: str, n: int) -> tuple[str, ...]:
        """Return `n` members for a key, in different failure domains if possible."""
        bucket = hash64(key) % _BUCKETS
        return self.top(f"bucket/{bucket}", n)[:n]

    def neighbours(self, vm: str, n: int) -> tuple[str, ...]:
        """Return the `n` other members that rank highest as neighbours of a member."""
        others = (other for other in self._failure_domains if other != vm)
        return tuple(
            heapq.nlargest(n, others, key=lambda other: self._score(other, vm))
        )

    def successor(self, vm: str) -> str | None:
        """Return the next member on the hash ring, None for a lone member.

        A stream from every member to its successor keeps the overlay connected.
        """
        ring = sorted((seed, other) for other, seed in self._hash_seeds.items())
        own = (hash64(vm), vm)
        after = [other for position, other in ring if (position, other) > own]
        if after:
            return after[0]
        return ring[0][1] if ring and ring[0][1] != vm else None

    def _score(self, vm: str, key: str) -> int:
        return hash64(key, self._hash_seeds[vm])

    def _is_affected(
        self, vm: str, domain: str, cache_key: tuple[str, int], ranking: _Ranking
    ) -> bool:
        if domain not in ranking.failure_domains or len(ranking.vms) < cache_key[1]:
            return True
        return self._score(vm, cache_key[0]) >= ranking.min_score

    def _rank(self, key: str, min_count: int) -> _Ranking:
        scored = sorted((self._score(vm, key), vm) for vm in self._failure_domains)
        scored.reverse()
        best: dict[str, tuple[int, str]] = {}
        for score, vm in scored:
            best.setdefault(self._failure_domains[vm], (score, vm))
        chosen = sorted(best.values(), reverse=True)
        rest = [pair for pair in scored if pair not in set(chosen)]
        chosen += rest[: max(0, min_count - len(chosen))]
        min_score = min((score for score, _ in chosen), default=0)
        vms = tuple(vm for _, vm in chosen)
        return _Ranking(vms, frozenset(best), min_score)
