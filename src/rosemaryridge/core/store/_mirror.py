"""Mirror the objects of one kind from the store."""

import asyncio
import collections
import random
import typing as t

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core.store._changes import ChangeLog
from rosemaryridge.core.store._changes import Update
from rosemaryridge.core.store._era import StoreEra
from rosemaryridge.exceptions import StoreError
from rosemaryridge.exceptions import StoreHistoryGone
from rosemaryridge.exceptions import StoreLimited

# The longest wait that the store allows, for watches that relays confirm. A connection
# may fall silent without an error, so that no answer does not mean no change.
_WATCH_WAIT_S = 30.0
# Wait of other watches: each answer proves that the connection works.
_SHORT_WATCH_WAIT_S = 1.0
# Age of a mirror at which its watch is renewed. Less than the 5 s after a fault from
# when the strictest deployment requires new configurations to be in force.
_MAX_AGE_S = 4.2
# A watch that has waited for this long should have reported a change that is known.
_WATCH_ANSWER_S = 1.0
# A store that is about to drop its history may answer a watch without the last changes.
# Short watches start at a revision that is this old, so that they are refused then.
_SETTLED_AGE_S = 3.0
# A mirror that waits for another one's probe calls the store itself after this.
_PROBE_WAIT_S = 5.0
# Delay after a change until the next watch; a third of the 3 s within which the
# strictest deployment requires a new configuration to be in force.
_MIN_WATCH_DELAY_S = 1.0
# The same while relays do not confirm the mirror; others may wait for this one.
_SHORT_WATCH_DELAY_S = 0.25
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
    """Report all objects of a kind, then each change, and resume after outages.

    Watches wait long while `confirm` shows that they miss nothing, else shortly. With
    `takes_changes`, a confirmed mirror does not watch: a relay passes changes on.
    """

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
        takes_changes: bool = False,
    ):
        self.takes_changes = takes_changes
        # Called after changes or a list have been reported.
        self.on_reported: t.Callable[[], None] = lambda: None
        # Whether a relay knows of a change that it has not passed on.
        self._is_behind = False
        # Whether it leaves the store alone, as a relay passes changes on.
        self._is_idle = False
        self._change_log = ChangeLog()
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
        # The revision that the next watch starts from, and those of later answers
        # without changes with the times at which they came.
        self._since = 0
        self._unchanged: collections.deque[tuple[float, int]] = collections.deque()
        # The last revision that may have changed an object of this kind.
        self.changed_revision = 0
        # The objects seen since the last list, removed ones included.
        self._names: set[str] = set()
        self._must_ping = False
        self._era = era
        # The watch under way, which `_renew` or a new era ends.
        self._watch_task: asyncio.Task[t.Any] | None = None
        self._watch_wait_s = _WATCH_WAIT_S
        self._watch_sent_at = float("-inf")
        if era is not None:
            era.subscribe(self._on_new_era)
        self._watch_delay = WatchDelay(max_watch_delay_s)
        self._retry_s = _RETRY_MIN_S
        # No change before this time is missing, on the clock of `boottime`.
        self._current_at = float("-inf")
        # Changes that are being reported were made after this time.
        self._reported_after = float("-inf")
        # When the mirror was started, last listed or confirmed by a relay.
        self._confirmed_at = boottime()

    async def run(self) -> None:
        """Mirror the objects until cancelled."""
        while True:
            try:
                answered = await self._sync()
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
                if answered:
                    self._on_success()

    async def _sync(self) -> bool:
        """List or watch once; return whether the store answered."""
        if self._must_ping:
            await self._store.ping()
            self._must_ping = False
        if self._revision is None:
            sent_at = boottime()
            listing = await self._store.list(self.kind)
            self._reported_after = self._current_at
            self._current_at = self._confirmed_at = sent_at
            self._record_list(listing.revision, listing.objects)
            self._on_list(listing.objects)
            self.on_reported()
            return True
        answer = await self._watch(self._since)
        if answer is None or self._revision is None:
            # The watch was renewed, or a restored store counts its revisions anew.
            return False
        changes, self._revision = answer
        self._is_behind = False
        if not changes:
            self._record_unchanged(self._revision)
            # The store answered no sooner than the wait ended, unless it cut it short.
            waited_until = self._watch_sent_at + self._watch_wait_s
            if boottime() >= waited_until:
                self._advance(waited_until)
            return True
        self._reported_after = self._current_at
        self._advance(self._watch_sent_at)
        self._apply(self._revision, changes)
        # Changes come in bursts; the delay lets one call return all of a burst.
        delay_s = self._watch_delay.next_s(self._now())
        await asyncio.sleep(delay_s if self._is_confirmed() else _SHORT_WATCH_DELAY_S)
        return True

    @property
    def revision(self) -> int | None:
        """Return the revision up to which all changes are known, None before a list."""
        return self._revision

    def update_after(self, revision: int) -> Update | None:
        """Return what another proxy lacks that knows all changes up to a revision."""
        return self._change_log.after(revision) if self.takes_changes else None

    def apply(self, since: int, update: Update) -> None:
        """Report the changes after `since` that a relay passed on."""
        if self._revision != since or not self._is_idle:
            # The store has answered or is about to: older states must not follow newer
            # ones.
            return
        self._log.write(
            "changes_relayed",
            kind=self.kind,
            since=since,
            revision=update.revision,
            full=update.full,
            changes=len(update.changes),
        )
        self._reported_after = self._current_at
        try:
            if update.full:
                objects = [change.object for change in update.changes]
                self._record_list(update.revision, objects)
                self._on_list(objects)
                self.on_reported()
            else:
                self._revision = update.revision
                self._apply(update.revision, update.changes)
        except Exception:
            # Lists again, as what follows the change is missing.
            self._revision = None
            self._end_watch()
            raise

    def _apply(self, revision: int, changes: t.Sequence[t.Any]) -> None:
        self._restart_from(revision)
        self.changed_revision = revision
        if self.takes_changes:
            self._change_log.append(revision, changes)
        for change in changes:
            self._names.add(change.object.name)
            self._on_change(change)
        self.on_reported()

    def _record_list(self, revision: int, objects: t.Sequence[t.Any]) -> None:
        self._change_log.restart(revision, objects if self.takes_changes else ())
        revisions = {obj.name: obj.revision for obj in objects}
        self._revision = revision
        self._restart_from(revision)
        if self._names <= revisions.keys():
            self.changed_revision = max(revisions.values(), default=0)
        else:
            # When the missing objects were removed is not known.
            self.changed_revision = revision
        self._names = set(revisions)

    def _restart_from(self, revision: int) -> None:
        self._since = revision
        self._unchanged.clear()

    def _record_unchanged(self, revision: int) -> None:
        if self._watch_wait_s == _WATCH_WAIT_S:
            # Older revisions may have left the history meanwhile.
            self._restart_from(revision)
            return
        now = boottime()
        self._unchanged.append((now, revision))
        while self._unchanged[0][0] <= now - _SETTLED_AGE_S:
            self._since = self._unchanged.popleft()[1]

    async def _watch(self, revision: int) -> t.Any:
        """Return the store's answer to a watch, None if it was ended."""
        loop = asyncio.get_running_loop()
        confirmed = self._is_confirmed() and not self._is_behind
        self._watch_wait_s = _WATCH_WAIT_S if confirmed else _SHORT_WATCH_WAIT_S
        self._watch_sent_at = boottime()
        self._is_idle = confirmed and self.takes_changes
        # An idle mirror waits until it is renewed or behind.
        watch: t.Coroutine[t.Any, t.Any, t.Any] = (
            asyncio.Event().wait()
            if self._is_idle
            else self._store.watch(self.kind, revision, self._watch_wait_s)
        )
        task = self._watch_task = loop.create_task(watch)
        try:
            await asyncio.wait([task])
        finally:
            self._is_idle = False
            self._watch_task = None
            task.cancel()
        return None if task.cancelled() else task.result()

    def _on_new_era(self, era: int) -> str:
        if self._revision is None:
            return ""
        self._revision = None
        self._change_log.restart(None)
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

    def report_age_s(self) -> float:
        """Return how long ago a change that is being reported was made at the most.

        Infinite in the first list.
        """
        return boottime() - self._reported_after

    def confirm(self, changed_revision: int, current_at: float) -> None:
        """Take note that a relay knew no change after a revision at a time.

        Renews a watch that has not reported the change in time. Revisions are of the
        current era; the time is on the clock of `boottime`.
        """
        if self._revision is None:
            return
        if changed_revision <= self._revision:
            self._advance(current_at)
            self._confirmed_at = max(self._confirmed_at, current_at)
        elif self._is_idle:
            self._is_behind = True
            self._end_watch()
        elif (
            self._is_watching_long()
            and boottime() - self._watch_sent_at > _WATCH_ANSWER_S
        ):
            self._renew("a relay knows of a newer change")

    def until_renewal_s(self) -> float:
        """Return the time until `check` would renew the watch, in seconds."""
        if not self._is_watching_long():
            return float("inf")
        return max(0.0, _MAX_AGE_S - self.age_s())

    def check(self, is_relied_on: bool) -> None:
        """Renew a long watch if nothing has shown for too long that it works.

        A mirror that the other proxies rely on does not watch long.
        """
        if not self._is_watching_long():
            return
        if is_relied_on:
            self._renew("other proxies rely on it")
        elif self.age_s() >= _MAX_AGE_S:
            self._renew("neither answered nor confirmed")

    def _renew(self, reason: str) -> None:
        """Replace a long watch by a short one, on another connection."""
        self._log.write(
            "watch_renewed",
            kind=self.kind,
            revision=self._revision,
            waited_s=round(boottime() - self._watch_sent_at, 1),
            age_s=round(self.age_s(), 1),
            reason=reason,
        )
        self._confirmed_at = float("-inf")
        self._end_watch()

    def _end_watch(self) -> None:
        self._is_idle = False
        if self._watch_task is not None:
            self._watch_task.cancel()
            self._watch_task = None

    def _is_watching_long(self) -> bool:
        return self._watch_task is not None and self._watch_wait_s == _WATCH_WAIT_S

    def _advance(self, current_at: float) -> None:
        self._current_at = max(self._current_at, current_at)

    def _is_confirmed(self) -> bool:
        return boottime() - self._confirmed_at <= _MAX_AGE_S

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
