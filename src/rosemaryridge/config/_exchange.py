"""Exchange published services between proxies."""

import asyncio
import random
import typing as t

from rosemaryridge.config._catalog import Catalog
from rosemaryridge.config._messages import BucketNotice
from rosemaryridge.config._messages import CatalogSummary
from rosemaryridge.config._messages import HeldRevision
from rosemaryridge.config._messages import RevisionFetch
from rosemaryridge.config._messages import RevisionNotice
from rosemaryridge.config._messages import RevisionValue
from rosemaryridge.config._messages import RevisionValues
from rosemaryridge.config._settings import ServicesSettings
from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.peer import PeerBus
from rosemaryridge.timer import Subscription
from rosemaryridge.timer import TimerService

_ANSWER_MAX_BYTES = 512 * 1024
_FETCH_MAX_SERVICES = 200

OnValues = t.Callable[[str, tuple[RevisionValue, ...]], None]


class CatalogBus(PeerBus, t.Protocol):
    """Extend the peer bus with an event for new or interrupted streams."""

    def on_resync(self, callback: t.Callable[[str], None]) -> None:
        """Register a callback for a peer whose stream is new or lost messages."""


class Exchange:
    """Announce stored revisions to peers and fetch newer revisions from them.

    `complete` becomes true once this proxy has read the object API, or a peer with
    equal digests has.
    """

    def __init__(
        self,
        cfg: ServicesSettings,
        timer: TimerService,
        rng: random.Random,
        bus: CatalogBus,
        catalog: Catalog,
        on_values: OnValues,
    ):
        self.complete = False
        self._cfg = cfg
        self._timer = timer
        self._rng = rng
        self._bus = bus
        self._catalog = catalog
        self._on_values = on_values
        self._requested: dict[str, int] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._subscription: Subscription | None = None

    def start(self) -> None:
        """Answer peers, and send a summary to a random peer in each period."""
        bus = self._bus
        bus.on_message(RevisionNotice, self._on_notice)
        bus.on_message(CatalogSummary, self._on_summary)
        bus.on_message(BucketNotice, self._on_buckets)
        bus.on_ask(RevisionFetch, self._on_fetch)
        bus.on_resync(self._send_summary)
        self._subscription = self._timer.every(
            self._cfg.exchange_s,
            self._compare_with_random_peer,
            self._cfg.jitter,
            self._rng,
        )

    def stop(self) -> None:
        """Stop sending summaries and fetching revisions."""
        if self._subscription is not None:
            self._subscription.cancel()
        for task in self._tasks:
            task.cancel()

    def announce(self, services: t.Iterable[str]) -> None:
        """Announce the newest revisions of services to the connected peers."""
        held = tuple(HeldRevision(n, self._catalog.newest(n)) for n in services)
        if held:
            self._bus.broadcast(RevisionNotice(held))

    def _compare_with_random_peer(self) -> None:
        peers = self._bus.peers()
        if peers:
            self._send_summary(self._rng.choice(peers))

    def _send_summary(self, vm: str) -> None:
        self._bus.send(vm, CatalogSummary(self._catalog.digests(), self.complete))

    def _on_summary(self, vm: str, summary: CatalogSummary) -> None:
        buckets = self._catalog.differing_buckets(summary.buckets)
        if buckets:
            self._bus.send(vm, BucketNotice(buckets, self._catalog.held_in(buckets)))
        elif summary.complete:
            self.complete = True
        elif self.complete:
            self._send_summary(vm)

    def _on_buckets(self, vm: str, notice: BucketNotice) -> None:
        theirs = {held.service: held.revision for held in notice.held}
        own = self._catalog.held_in(notice.buckets)
        newer = tuple(h for h in own if h.revision > theirs.get(h.service, 0))
        if newer:
            self._bus.send(vm, RevisionNotice(newer))
        self._fetch_newer(vm, notice.held)

    def _on_notice(self, vm: str, notice: RevisionNotice) -> None:
        self._fetch_newer(vm, notice.held)

    def _fetch_newer(self, vm: str, held: tuple[HeldRevision, ...]) -> None:
        newer = [
            rev for rev in held if rev.revision > self._newest_requested(rev.service)
        ]
        if not newer:
            return
        self._requested.update({rev.service: rev.revision for rev in newer})
        names = [rev.service for rev in newer]
        task = asyncio.get_running_loop().create_task(self._fetch(vm, names))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def _newest_requested(self, name: str) -> int:
        return max(self._catalog.newest(name), self._requested.get(name, 0))

    async def _fetch(self, vm: str, names: list[str]) -> None:
        try:
            while names:
                fetch = RevisionFetch(tuple(names[:_FETCH_MAX_SERVICES]))
                answer = await self._bus.ask(vm, fetch, self._cfg.ask_timeout_s)
                names = self._handle_answer(vm, names, answer.values)
        except PeerUnavailable:
            return
        finally:
            for name in names:
                self._requested.pop(name, None)
        if not self.complete:
            self._send_summary(vm)

    def _handle_answer(
        self, vm: str, names: list[str], values: tuple[RevisionValue, ...]
    ) -> list[str]:
        received = {value.service for value in values}
        for name in received:
            self._requested.pop(name, None)
        self._on_values(vm, values)
        # An empty answer ends the fetch; the next summary from a peer restarts it.
        return [name for name in names if name not in received] if received else []

    def _on_fetch(self, _vm: str, fetch: RevisionFetch) -> RevisionValues:
        values: list[RevisionValue] = []
        size = 0
        for name in fetch.services:
            found = self._catalog.values(name)
            size += sum(len(value.value) for value in found)
            if values and size > _ANSWER_MAX_BYTES:
                break
            values.extend(found)
        return RevisionValues(tuple(values))
