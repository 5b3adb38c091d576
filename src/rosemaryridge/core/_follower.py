"""Follow one kind of objects in the store."""

import asyncio
import random
import typing as t

from rosemaryridge.core._event_log import EventLog
from rosemaryridge.exceptions import StoreError
from rosemaryridge.exceptions import StoreHistoryGone
from rosemaryridge.exceptions import StoreLimited

# The longest that the store allows; TCP's own probes find a dead connection.
_WATCH_WAIT_S = 30.0
# A follower that waits for another asks by itself after this.
_OUTAGE_MAX_S = 5.0
# How long changes are gathered after one; a third of the 3 s that the strictest
# deployment gives a configuration until it must be in force.
_GATHER_S = 1.0
# How soon a failed call is repeated; what changed meanwhile must be in force within
# seconds of the store's return.
_RETRY_MIN_S = 0.1
_RETRY_MAX_S = 1.2


class WatchedStore(t.Protocol):
    """List and watch objects of a kind."""

    async def ping(self) -> None:
        """Return if the store answers; raise StoreError."""

    async def list(self, kind: str) -> t.Any:
        """Return every object of a kind and the store's revision."""

    async def watch(self, kind: str, revision: int, wait_s: float) -> t.Any:
        """Return the changes after a revision and the next revision."""


class Gathering:
    """Decide how long changes are gathered before the next watch.

    It answers many targets that register one after the other before many proxies:
    each watch is a call of every proxy.
    """

    def __init__(self, most_s: float):
        self._most_s = most_s
        self._last_s = _GATHER_S
        self._until = float("-inf")

    def next_s(self, now: float) -> float:
        """Return for how long to gather; longer while changes keep coming."""
        if now - self._until > self._last_s:
            self._last_s = _GATHER_S
        else:
            self._last_s = min(self._most_s, 2 * self._last_s)
        self._until = now + self._last_s
        return self._last_s


class Outage:
    """Let one of several followers ask a store that does not answer.

    It answers an outage before many proxies: every call is priced, also those that
    fail.
    """

    def __init__(self) -> None:
        self._asking: object | None = None
        self._over: asyncio.Future[None] | None = None

    async def failed(self, follower: object) -> None:
        """Return at once for the first to fail, for others when it has succeeded."""
        if self._asking is None:
            self._asking = follower
            self._over = asyncio.get_running_loop().create_future()
        if self._asking is not follower and self._over is not None:
            await asyncio.wait([self._over], timeout=_OUTAGE_MAX_S)

    def succeeded(self, follower: object) -> None:
        """Take in that the store has answered."""
        if self._asking is not None and self._over is not None:
            self._asking = None
            self._over.set_result(None)


class Follower:
    """Hand over every object of a kind, then each change, through outages."""

    def __init__(
        self,
        store: WatchedStore,
        kind: str,
        on_list: t.Callable[[t.Sequence[t.Any]], None],
        on_change: t.Callable[[t.Any], None],
        log: EventLog,
        rng: random.Random,
        outage: Outage,
        gather_most_s: float = _GATHER_S,
    ):
        self._outage = outage
        self.reachable = False
        self.changed_at = asyncio.get_running_loop().time()
        self._store = store
        self._kind = kind
        self._on_list = on_list
        self._on_change = on_change
        self._log = log
        self._rng = rng
        self._revision: int | None = None
        self._in_doubt = False
        self._gathering = Gathering(gather_most_s)
        self._retry_s = _RETRY_MIN_S

    async def run(self) -> None:
        """Follow until cancelled."""
        while True:
            try:
                await self._step()
            except StoreHistoryGone as exc:
                self._log.write("store_history_gone", kind=self._kind, reason=str(exc))
                self._revision = None
            except StoreError as exc:
                # A watch that was cut may have missed changes that the next would
                # not be told of.
                self._revision = None
                self._in_doubt = True
                await self._failed(exc)
            else:
                self._succeeded()

    async def _step(self) -> None:
        if self._in_doubt:
            await self._store.ping()
            self._in_doubt = False
        if self._revision is None:
            listing = await self._store.list(self._kind)
            self._revision = listing.revision
            self._on_list(listing.objects)
            return
        changes, revision = await self._store.watch(
            self._kind, self._revision, _WATCH_WAIT_S
        )
        self._revision = revision
        for change in changes:
            self._on_change(change)
        if not changes:
            return
        # Changes come in groups; one watch for all of them is one call.
        await asyncio.sleep(self._gathering.next_s(asyncio.get_running_loop().time()))

    def _succeeded(self) -> None:
        self._outage.succeeded(self)
        self._retry_s = _RETRY_MIN_S
        if not self.reachable:
            self._turn(True)
            self._log.write("store_reached", kind=self._kind, revision=self._revision)

    def _turn(self, reachable: bool) -> None:
        self.reachable = reachable
        self.changed_at = asyncio.get_running_loop().time()

    def unreachable_s(self) -> float:
        """Return for how long the store has not been reached, 0 where it is."""
        if self.reachable:
            return 0.0
        return asyncio.get_running_loop().time() - self.changed_at

    async def _failed(self, exc: StoreError) -> None:
        if self.reachable:
            self._turn(False)
            self._log.write("store_lost", kind=self._kind, reason=str(exc))
        delay_s = self._retry_s
        if isinstance(exc, StoreLimited):
            delay_s = max(delay_s, exc.retry_after_s)
        self._retry_s = min(_RETRY_MAX_S, 2 * self._retry_s)
        await self._outage.failed(self)
        await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))
