"""Run every group that this proxy serves or watches."""

import random
import typing as t

from rosemaryridge.codes import group as codes
from rosemaryridge.config import FaultSettings
from rosemaryridge.config import GroupSettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.exceptions import Refusal
from rosemaryridge.group import _events as ev
from rosemaryridge.group._acknowledge import MajorityWait
from rosemaryridge.group._driver import FailoverDriver
from rosemaryridge.group._group import Group
from rosemaryridge.group._hint import GroupHint
from rosemaryridge.group._hint import HintWriter
from rosemaryridge.group._messages import GroupLed
from rosemaryridge.group._messages import GroupRow
from rosemaryridge.group._messages import GroupSilence
from rosemaryridge.group._messages import GroupTakeover
from rosemaryridge.group._messages import decode_status
from rosemaryridge.group._port import TargetPort
from rosemaryridge.group._view import GroupView
from rosemaryridge.group._view_exchange import ViewExchange
from rosemaryridge.model import Position
from rosemaryridge.model import TargetStatus
from rosemaryridge.model import target_key
from rosemaryridge.objects import ObjectStore
from rosemaryridge.peer import PeerBus
from rosemaryridge.telemetry import GROUP_TERM
from rosemaryridge.telemetry import Log
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import Subscription
from rosemaryridge.timer import TimerService

_TICK_S = 0.025
_WATCHERS_PERIOD_S = 0.5

log = Log("group")

RankWatchers = t.Callable[[ServiceConfig], tuple[str, ...]]
OnPrimary = t.Callable[[str, int, str | None], None]
OnDraining = t.Callable[[str, bool], None]


class GroupService:
    """Find each group's primary, acknowledge writes and fail over.

    `watchers` returns the VMs that watch a service's group in the order of their
    ranks; without it this proxy is the only watcher of every group. `on_draining` is
    called with a target's key and whether it is draining after each answered poll.
    """

    def __init__(
        self,
        cfg: GroupSettings,
        timer: TimerService,
        rng: random.Random,
        port: TargetPort,
        bus: PeerBus,
        store: ObjectStore,
        metrics: Metrics,
        faults: FaultSettings | None = None,
        vm: str = "",
        watchers: RankWatchers | None = None,
        on_draining: OnDraining | None = None,
    ):
        self._cfg = cfg
        self._timer = timer
        self._rng = rng
        self._port = port
        self._bus = bus
        self._metrics = metrics
        self._faults = faults or FaultSettings()
        self._vm = vm
        self._watchers = watchers or (lambda _service: (vm,))
        self._on_draining = on_draining
        self._groups: dict[str, Group] = {}
        self._drivers: dict[str, FailoverDriver] = {}
        self._on_primary: list[OnPrimary] = []
        self._used_at: dict[str, float] = {}
        self._subscriptions: list[Subscription] = []
        self._hints = HintWriter(timer, store)
        self._exchange = ViewExchange(
            cfg,
            timer,
            bus,
            vm,
            self._view_if_watched,
            self._on_view_row,
            self._poll_all,
        )
        bus.on_message(GroupSilence, self._on_silence_message)
        bus.on_message(GroupTakeover, self._on_takeover_message)
        bus.on_message(GroupLed, self._on_promotion_message)

    async def start(self) -> None:
        """Start the periodic tasks of all groups."""
        cfg, every = self._cfg, self._timer.every
        self._subscriptions = [
            every(_TICK_S, self._tick),
            every(_WATCHERS_PERIOD_S, self._update_watchers),
            every(cfg.delta_period_s, self._fetch_views, cfg.jitter, self._rng),
        ]

    async def stop(self) -> None:
        """Cancel the periodic tasks and all requests under way."""
        for subscription in self._subscriptions:
            subscription.cancel()
        for driver in self._drivers.values():
            driver.stop()
        for group in self._groups.values():
            group.stop()
        self._exchange.stop()
        self._hints.stop()

    def adopt(self, service: ServiceConfig) -> None:
        """Add the group of a new service or apply a changed configuration."""
        group = self._groups.get(service.name)
        if group is not None:
            group.adopt(service)
            return
        self._add(service)

    def _add(self, service: ServiceConfig) -> None:
        name = service.name
        group = Group(self._cfg, self._faults, self._timer, self._port, service)
        driver = FailoverDriver(
            self._cfg,
            self._timer,
            self._rng,
            self._port,
            self._bus,
            group,
            self._vm,
            self._faults.skip_fencing,
        )
        self._groups[name] = group
        self._drivers[name] = driver
        group.on_primary_change.append(lambda: self._on_primary_changed(name))
        group.on_status.append(
            lambda target, status, _at: self._on_status(name, target, status)
        )
        driver.on_promotion.append(
            lambda term, primary: self._store_hint(name, term, primary)
        )
        driver.set_watchers(self._watchers(service))
        group.poll()

    def view(self, service: str) -> GroupView:
        """Return a service's view and keep it up to date for `interest_s` seconds."""
        self._used_at[service] = self._timer.now()
        return self._groups[service].view

    def on_primary(self, callback: OnPrimary) -> None:
        """Register a callback for changes of a primary.

        It gets the service, the term and the primary, or None without one.
        """
        self._on_primary.append(callback)

    async def acknowledge(
        self,
        service: str,
        target: str,
        term: int,
        deadline: float,
        position: Position | None = None,
    ) -> Position:
        """Wait until a majority holds a committed write; return its position.

        `position` is the commit's position, None if the position is not known.
        `deadline` is in monotonic seconds. Raise Refusal if no majority is seen by
        then or the primary is replaced; the outcome of the write is then unknown.
        """
        waiter = MajorityWait(target, term, self._timer.now(), position)
        return await self._wait(service, waiter, deadline)

    async def confirm_read(
        self,
        service: str,
        target: str,
        term: int,
        position: Position,
        deadline: float,
        since: float | None = None,
    ) -> None:
        """Wait until a majority in the term holds what a read at its primary saw.

        `since` is when the read was sent, None for now. `since` and `deadline` are in
        monotonic seconds. Raise Refusal if no majority is seen by the deadline or
        the primary is replaced.
        """
        since = self._timer.now() if since is None else since
        covered = max(position, Position(term, 0))
        await self._wait(
            service, MajorityWait(target, term, since, covered, True), deadline
        )

    async def next_status(self, service: str, until: float) -> bool:
        """Wait for the next status; return whether it came before monotonic `until`."""
        return await self._groups[service].next_status(until)

    def suspect(self, service: str, target: str, reason: str) -> None:
        """Poll the group's targets at once after a request raised suspicion."""
        driver = self._drivers.get(service)
        if driver is not None:
            log.debug(
                "Polling a group: a request raised suspicion against a target.",
                target=target,
                reason=reason,
            )
            driver.handle_event(ev.TargetSuspected(target))

    async def _wait(
        self, service: str, waiter: MajorityWait, deadline: float
    ) -> Position:
        result = await self._groups[service].wait(waiter, deadline)
        code = codes.ACK_TIMEOUT if result is None else result.code
        if code is not None:
            self._metrics.refuse(code, service)
            raise Refusal(code)
        return result.position

    def _tick(self) -> None:
        for driver in self._drivers.values():
            if driver.is_watcher:
                driver.handle_event(ev.Tick())

    def _update_watchers(self) -> None:
        for name, driver in self._drivers.items():
            driver.set_watchers(self._watchers(self._groups[name].service))

    def _fetch_views(self) -> None:
        now = self._timer.now()
        used = [name for name in self._drivers if self._is_view_wanted(name, now)]
        wanted = {name: self._drivers[name].watchers for name in used}
        self._exchange.fetch({name: vms for name, vms in wanted.items() if vms})
        self._poll_all(tuple(name for name, vms in wanted.items() if not vms))

    def _is_view_wanted(self, name: str, now: float) -> bool:
        used_at = self._used_at.get(name, float("-inf"))
        is_recent = now - used_at <= self._cfg.interest_s
        return is_recent and not self._drivers[name].is_watcher

    def _view_if_watched(self, service: str) -> GroupView | None:
        driver = self._drivers.get(service)
        is_watcher = driver is not None and driver.is_watcher
        return self._groups[service].view if is_watcher else None

    def _poll_all(self, services: tuple[str, ...]) -> None:
        for service in services:
            self._groups[service].poll()

    def _on_view_row(self, row: GroupRow, asked_at: float) -> None:
        group = self._groups[row.service]
        if row.primary is not None:
            group.record_promotion(row.term, row.primary)
        for target in row.targets:
            group.observe(target.target, decode_status(target, asked_at))

    def _on_silence_message(self, vm: str, message: GroupSilence) -> None:
        driver = self._drivers.get(message.service)
        if driver is not None:
            report = (message.primary, message.term, message.silence_s)
            driver.handle_event(ev.PeerReportedSilence(vm, *report))

    def _on_takeover_message(self, vm: str, message: GroupTakeover) -> None:
        driver = self._drivers.get(message.service)
        if driver is not None:
            driver.handle_event(ev.PeerBeganTakeover(message.term))

    def _on_promotion_message(self, vm: str, message: GroupLed) -> None:
        group = self._groups.get(message.service)
        if group is not None and group.record_promotion(message.term, message.primary):
            self._bus.broadcast(message)
            group.poll()

    def _store_hint(self, service: str, term: int, primary: str) -> None:
        self._hints.write(service, GroupHint(term, primary))

    def _on_primary_changed(self, service: str) -> None:
        view = self._groups[service].view
        self._metrics.set(GROUP_TERM, view.term, service)
        log.info(
            "A group's primary changed.",
            service=service,
            term=view.term,
            primary=view.primary or "none",
        )
        for callback in self._on_primary:
            callback(service, view.term, view.primary)

    def _on_status(self, service: str, target: str, status: TargetStatus) -> None:
        if self._on_draining is not None:
            self._on_draining(target_key(service, target), status.leaving)
