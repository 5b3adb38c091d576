"""Know what holds a connection, and end what holds one to a replaced primary."""

import collections
import dataclasses

import asyncpg

from rosemaryridge.pool import PoolLease
from rosemaryridge.proxy._connect import CONNECTION_ERRORS
from rosemaryridge.request import Failed
from rosemaryridge.request import Lost
from rosemaryridge.request import Replaced
from rosemaryridge.telemetry import Log
from rosemaryridge.wire import TargetConnection

log = Log("request")


@dataclasses.dataclass(slots=True, eq=False)
class Placement:
    """Hold the target that was chosen, and the connection to it."""

    target: str
    term: int
    primary: bool
    started_at: float
    lease: PoolLease
    replaced: bool = False

    @property
    def connection(self) -> TargetConnection:
        """Return the connection."""
        return self.lease.connection

    def replace(self) -> None:
        """Close the connection, since its target leads no more."""
        self.replaced = True
        self.connection.terminate()

    def check(self) -> None:
        """Raise a connection error where the target leads no more."""
        if self.replaced:
            raise asyncpg.InterfaceError("the primary was replaced")

    def failure(self, exc: Exception) -> Failed | Lost | Replaced:
        """Return what an error on the connection means to its request."""
        if self.replaced and isinstance(exc, CONNECTION_ERRORS):
            return Replaced()
        if isinstance(exc, asyncpg.PostgresError):
            return Failed(exc.sqlstate or "")
        return Lost()


class InFlight:
    """Hold the placements on primaries, by service."""

    def __init__(self):
        self._held: dict[str, set[Placement]] = collections.defaultdict(set)

    def add(self, service: str, placement: Placement) -> None:
        """Take in a placement; one on a replica is left alone."""
        if placement.primary:
            self._held[service].add(placement)

    def discard(self, service: str, placement: Placement) -> None:
        """Forget a placement that has ended."""
        self._held[service].discard(placement)

    def primary_changed(self, service: str, term: int, _primary: str | None) -> None:
        """End what runs on, or is pinned to, a primary of an older term."""
        # Without a new term a fenced primary may still answer that nothing ran.
        old = [one for one in self._held[service] if one.term < term]
        for placement in old:
            placement.replace()
        if old:
            log.info(
                "Requests on a replaced primary are ended.",
                service=service,
                term=term,
                requests=len(old),
            )
