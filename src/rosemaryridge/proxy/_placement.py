"""Track the requests in flight on primaries; end them when a primary is replaced."""

import collections
import dataclasses

import asyncpg

from rosemaryridge.pool import PooledConnection
from rosemaryridge.proxy._connect import CONNECTION_ERRORS
from rosemaryridge.request import ConnectionLost
from rosemaryridge.request import Failed
from rosemaryridge.request import PrimaryReplaced
from rosemaryridge.telemetry import Log
from rosemaryridge.wire import TargetConnection

log = Log("request")


@dataclasses.dataclass(slots=True, eq=False)
class Placement:
    """Hold the target selected for a request and the connection leased to it."""

    target: str
    term: int
    primary: bool
    started_at: float
    lease: PooledConnection
    replaced: bool = False

    @property
    def connection(self) -> TargetConnection:
        """Return the leased connection to the target."""
        return self.lease.connection

    def close_as_replaced(self) -> None:
        """Close the connection because its target is no longer the primary."""
        self.replaced = True
        self.connection.terminate()

    def raise_if_replaced(self) -> None:
        """Raise asyncpg.InterfaceError if the primary was replaced."""
        if self.replaced:
            raise asyncpg.InterfaceError("the primary was replaced")

    def failure_event(
        self, exc: Exception
    ) -> Failed | ConnectionLost | PrimaryReplaced:
        """Return the request event for an error on the connection."""
        if self.replaced and isinstance(exc, CONNECTION_ERRORS):
            return PrimaryReplaced()
        if isinstance(exc, asyncpg.PostgresError):
            return Failed(exc.sqlstate or "")
        return ConnectionLost()


class InFlight:
    """Track the placements on primaries by service."""

    def __init__(self):
        self._placements: dict[str, set[Placement]] = collections.defaultdict(set)

    def add(self, service: str, placement: Placement) -> None:
        """Track a placement on a primary; ignore one on a replica."""
        if placement.primary:
            self._placements[service].add(placement)

    def discard(self, service: str, placement: Placement) -> None:
        """Stop tracking a placement that has ended."""
        self._placements[service].discard(placement)

    def on_primary_change(self, service: str, term: int, _primary: str | None) -> None:
        """Close every placement on a primary of a term older than `term`."""
        # A primary that was fenced without a new term keeps its connections: it may
        # still answer that a write did not run.
        replaced = [
            placement
            for placement in self._placements[service]
            if placement.term < term
        ]
        for placement in replaced:
            placement.close_as_replaced()
        if replaced:
            log.info(
                "Requests on a replaced primary were ended.",
                service=service,
                term=term,
                requests=len(replaced),
            )
