"""Mirror the objects of one kind from the store."""

import asyncio
import random
import typing as t

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._store_era import StoreEra
from rosemaryridge.exceptions import StoreError
from rosemaryridge.exceptions import StoreHistoryGone
from rosemaryridge.exceptions import StoreLimited

# The longest wait that the store allows; TCP keepalive detects a dead connection.
_WATCH_WAIT_S = 30.0
# A mirror that waits for another one's probe calls the store itself after this.
_PROBE_WAIT_S = 5.0
# Delay after a change until the next watch; a third of the 3 s within which the
# strictest deployment requires a new configuration to be in force.
_MIN_WATCH_DELAY_S = 1.0
# Delays before a failed call is retried; changes made during an outage must be in force
# within seconds of the store's return.
_RETRY_MIN_S = 0.1
_RETRY_MAX_S = 1.2


class WatchedStore(t.Protocol):
    """List and watch objects of a kind."""

    async def ping(self) -> None:
        """Return if the store answers; raise StoreError."""

    async def list(self, kind: str) -> t.Any:
        """Return all objects of a kind and the store's revision."""

    async def watch(self, kind: str, revision: int, wait_s: float) -> t.Any:
        """Return the changes after a revision and the revision to watch next.

        Waits up to `wait_s` seconds for a change.
        """


class WatchDelay:
    """Compute the delay before the next watch, so that one call returns many changes.

    Without a delay, many targets that register one after the other would cost a call
    of every proxy for each of them.
    """

    def __init__(self, max_s: float):
        self._max_s = max_s
        self._last_s = _MIN_WATCH_DELAY_S
        self._delay_ends_at = float("-inf")

    def next_s(self, now: float) -> float:
        """Return the next delay in seconds, doubled while changes follow each other."""
        if now - self._delay_ends_at > self._last_s:
            self._last_s = _MIN_WATCH_DELAY_S
        else:
            self._last_s = min(self._max_s, 2 * self._last_s)
        self._delay_ends_at = now + self._last_s
        return self._last_s


class RetryGate:
    """Limit the calls to an unreachable store to one of a proxy's mirrors.

    Every call is billed, including failed ones, and an outage affects many proxies.
    """

    def __init__(self) -> None:
        self._probing: object | None = None
        self._recovered: asyncio.Future[None] | None = None

    async def wait_after_failure(self, mirror: object) -> None:
        """Return at once for the first mirror to fail; make the others wait.

        They wait until the first one succeeds, or until a timeout.
        """
        if self._probing is None:
            self._probing = mirror
            self._recovered = asyncio.get_running_loop().create_future()
        if self._probing is not mirror and self._recovered is not None:
            await asyncio.wait([self._recovered], timeout=_PROBE_WAIT_S)

    def record_success(self, mirror: object) -> None:
        """Record that the store answered a mirror."""
        if self._probing is not None and self._recovered is not None:
            self._probing = None
            self._recovered.set_result(None)


class StoreMirror:
    """Report all objects of a kind, then each change, and resume after outages."""

    def __init__(
        self,
        store: WatchedStore,
        kind: str,
        on_list: t.Callable[[t.Sequence[t.Any]], None],
        on_change: t.Callable[[t.Any], None],
        log: EventLog,
        rng: random.Random,
        gate: RetryGate,
        max_watch_delay_s: float = _MIN_WATCH_DELAY_S,
        era: StoreEra | None = None,
    ):
        self._gate = gate
        self.reachable = False
        self.reachability_changed_at = asyncio.get_running_loop().time()
        self._store = store
        self.kind = kind
        self._on_list = on_list
        self._on_change = on_change
        self._log = log
        self._rng = rng
        self._revision: int | None = None
        self._must_ping = False
        self._era = era
        # The watch under way, which a new era ends.
        self._watch_task: asyncio.Task[t.Any] | None = None
        if era is not None:
            era.subscribe(self._on_new_era)
        self._watch_delay = WatchDelay(max_watch_delay_s)
        self._retry_s = _RETRY_MIN_S
        # No change before this time is missing, on the clock of `boottime`.
        self._current_at = boottime()

    async def run(self) -> None:
        """Mirror the objects until cancelled."""
        while True:
            try:
                await self._sync()
            except StoreHistoryGone as exc:
                self._log.write("store_history_gone", kind=self.kind, reason=str(exc))
                self._revision = None
            except StoreError as exc:
                # Changes during an interrupted watch may be lost, and the next watch
                # would not return them: list again.
                self._revision = None
                self._must_ping = True
                await self._on_failure(exc)
            except Exception as exc:
                # One object that cannot be handled must not end the process.
                self._log.write("mirror_failed", kind=self.kind, reason=repr(exc))
                self._revision = None
                await asyncio.sleep(_RETRY_MAX_S)
            else:
                self._on_success()

    async def _sync(self) -> None:
        if self._must_ping:
            await self._store.ping()
            self._must_ping = False
        if self._revision is None:
            sent_at = boottime()
            listing = await self._store.list(self.kind)
            self._current_at = sent_at
            self._revision = listing.revision
            self._on_list(listing.objects)
            return
        sent_at = boottime()
        answer = await self._watch(self._revision)
        if answer is None or self._revision is None:
            # The store has come back from a copy: its revisions count anew.
            return
        self._current_at = sent_at
        changes, revision = answer
        self._revision = revision
        for change in changes:
            self._on_change(change)
        if not changes:
            return
        # Changes come in bursts; the delay lets one call return all of a burst.
        await asyncio.sleep(self._watch_delay.next_s(self._now()))

    async def _watch(self, revision: int) -> t.Any:
        """Return the store's answer to a watch, None if a new era ended it."""
        loop = asyncio.get_running_loop()
        task = self._watch_task = loop.create_task(
            self._store.watch(self.kind, revision, _WATCH_WAIT_S)
        )
        try:
            await asyncio.wait([task])
        finally:
            self._watch_task = None
            task.cancel()
        return None if task.cancelled() else task.result()

    def _on_new_era(self, era: int) -> str:
        if self._revision is None:
            return ""
        self._revision = None
        if self._watch_task is not None:
            self._watch_task.cancel()
        return f"revisions of {self.kind}"

    def _on_success(self) -> None:
        self._gate.record_success(self)
        self._retry_s = _RETRY_MIN_S
        if not self.reachable:
            self._set_reachable(True)
            self._log.write("store_reached", kind=self.kind, revision=self._revision)

    def _set_reachable(self, reachable: bool) -> None:
        self.reachable = reachable
        self.reachability_changed_at = self._now()

    def _now(self) -> float:
        return asyncio.get_running_loop().time()

    def age_s(self) -> float:
        """Return the age in seconds that a change can have without being reported."""
        return boottime() - self._current_at

    def unreachable_s(self) -> float:
        """Return how long the store has been unreachable, in seconds."""
        if self.reachable:
            return 0.0
        return self._now() - self.reachability_changed_at

    async def _on_failure(self, exc: StoreError) -> None:
        if self.reachable:
            self._set_reachable(False)
            self._log.write(
                "store_lost",
                kind=self.kind,
                age_s=round(self.age_s(), 1),
                reason=str(exc),
            )
        delay_s = self._retry_s
        if isinstance(exc, StoreLimited):
            delay_s = max(delay_s, exc.retry_after_s)
        self._retry_s = min(_RETRY_MAX_S, 2 * self._retry_s)
        await self._gate.wait_after_failure(self)
        await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))
