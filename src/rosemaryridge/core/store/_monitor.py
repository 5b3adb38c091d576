"""Take the changes of the store from relays, and know that none is missing.

Two proxies of the fleet watch the store with short waits. Two proxies of each failure
domain ask one of them for the changes since those that they know, and the others ask
one of their domain, so that the calls to the store do not grow with the number of
proxies. A relay that does not pass a change on still shows that it is missing.
"""

import asyncio
import dataclasses
import random
import typing as t

from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core.store._changes import Update
from rosemaryridge.core.store._era import StoreEra
from rosemaryridge.core.store._mirror import StoreMirror

# Longest time between two requests to a relay. Ages add up over two relays, and one
# lost datagram must not renew the watches.
_PERIOD_S = 0.8


@dataclasses.dataclass(frozen=True, slots=True)
class MirrorState:
    """Describe a relay's mirror of the objects of one kind in the store.

    The relay has each change that the store accepted before the last `age_s` seconds;
    none of them is after `changed_revision`.
    """

    changed_revision: int
    age_s: float


class MirrorListing(t.NamedTuple):
    """Hold a relay's mirrors by kind, when they were requested, and the store's era.

    `updates` lead on from the revisions that the request named.
    """

    mirrors: dict[str, MirrorState]
    requested_at: float
    era: int | None
    updates: t.Mapping[str, Update] = {}


class MirrorMonitor:
    """Confirm this proxy's mirrors by those of a relay, and pass their state on."""

    def __init__(
        self,
        mirrors: t.Sequence[StoreMirror],
        era: StoreEra,
        log: EventLog,
        rng: random.Random,
    ):
        # Requests the state of a relay's mirrors and the changes after the known
        # revisions by kind; None without peers.
        self.request_from_relay: (
            t.Callable[[dict[str, int]], t.Awaitable[MirrorListing | None]] | None
        ) = None
        # Returns whether this proxy is a relay of the whole fleet.
        self.is_relay_of_fleet: t.Callable[[], bool] = lambda: False
        self._mirrors = mirrors
        self._era = era
        self._log = log
        self._rng = rng
        self._requested_soon = asyncio.Event()

    def request_soon(self) -> None:
        """Ask a relay at once: it has told of new changes."""
        self._requested_soon.set()

    async def _pause(self, delay_s: float) -> None:
        try:
            async with asyncio.timeout(delay_s):
                await self._requested_soon.wait()
        except TimeoutError:
            return
        self._requested_soon.clear()

    async def run(self) -> None:
        """Confirm the mirrors periodically until cancelled."""
        while True:
            delay_s = _PERIOD_S * self._rng.uniform(0.8, 1.0)
            until_renewal_s = min(mirror.until_renewal_s() for mirror in self._mirrors)
            await self._pause(min(delay_s, until_renewal_s))
            try:
                await self.check()
            except Exception as exc:
                # A peer that cannot be asked must not end the process.
                self._log.write("mirror_check_failed", reason=repr(exc))

    async def check(self) -> None:
        """Confirm the mirrors once, and renew the watches of outdated ones."""
        listing = None
        known = {
            mirror.kind: mirror.revision
            for mirror in self._mirrors
            if mirror.takes_changes and mirror.revision is not None
        }
        if self.request_from_relay is not None:
            listing = await self.request_from_relay(known)
        if listing is not None and self._era.observe(listing.era):
            for mirror in self._mirrors:
                state = listing.mirrors.get(mirror.kind)
                if state is None:
                    continue
                if mirror.kind in known and mirror.kind in listing.updates:
                    mirror.apply(known[mirror.kind], listing.updates[mirror.kind])
                current_at = listing.requested_at - state.age_s
                mirror.confirm(state.changed_revision, current_at)
        is_relay_of_fleet = self.is_relay_of_fleet()
        for mirror in self._mirrors:
            mirror.check(is_relay_of_fleet)

    def states(self) -> tuple[dict[str, MirrorState], int | None]:
        """Return the state of this proxy's mirrors by kind, and the store's era."""
        states = {
            mirror.kind: MirrorState(mirror.changed_revision, mirror.age_s())
            for mirror in self._mirrors
        }
        return states, self._era.current

    def updates_after(self, known: t.Mapping[str, int]) -> dict[str, Update]:
        """Return what leads on from known revisions, by kind."""
        found = {
            mirror.kind: mirror.update_after(known[mirror.kind])
            for mirror in self._mirrors
            if mirror.kind in known
        }
        return {kind: update for kind, update in found.items() if update is not None}
