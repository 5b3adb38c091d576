"""Run every group that this proxy serves or watches."""

import random
import typing as t

from rosemaryridge.codes import group as codes
from rosemaryridge.config import FaultSettings
from rosemaryridge.config import GroupSettings
from rosemaryridge.config import ServiceConfig
from rosemaryridge.exceptions import Refusal
from rosemaryridge.group import _events as ev
from rosemaryridge.group._acknowledge import Waiter
from rosemaryridge.group._driver import FailoverDriver
from rosemaryridge.group._group import Group
from rosemaryridge.group._hint import GroupHint
from rosemaryridge.group._hint import HintWriter
from rosemaryridge.group._messages import GroupLed
from rosemaryridge.group._messages import GroupRow
from rosemaryridge.group._messages import GroupSilence
from rosemaryridge.group._messages import GroupTakeover
from rosemaryridge.group._messages import unpack
from rosemaryridge.group._port import TargetPort
from rosemaryridge.group._relay import ViewRelay
from rosemaryridge.group._view import GroupView
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
_RANK_PERIOD_S = 0.5

log = Log("group")

Watchers = t.Callable[[ServiceConfig], tuple[str, ...]]
OnPrimary = t.Callable[[str, int, str | None], None]
OnLeaving = t.Callable[[str, bool], None]


class GroupService:
    """Know who leads each group, acknowledge what a majority holds, fail over.

    `watchers` ranks the VMs that watch a service's group; without it this proxy
    watches every group alone. `on_leaving` is told by each target's key
    what its status says.
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
        watchers: Watchers | None = None,
        on_leaving: OnLeaving | None = None,
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
        self._on_leaving = on_leaving
        self._groups: dict[str, Group] = {}
        self._drivers: dict[str, FailoverDriver] = {}
        self._on_primary: list[OnPrimary] = []
        self._used_at: dict[str, float] = {}
        self._subscriptions: list[Subscription] = []
        self._hints = HintWriter(timer, store)
        self._relay = ViewRelay(
            cfg, timer, bus, vm, self._watched_view, self._take, self._poll_all
        )
        bus.on_message(GroupSilence, self._on_silence)
        bus.on_message(GroupTakeover, self._on_takeover)
        bus.on_message(GroupLed, self._on_led)

    async def start(self) -> None:
        """Begin to watch."""
        cfg, every = self._cfg, self._timer.every
        self._subscriptions = [
            every(_TICK_S, self._tick),
            every(_RANK_PERIOD_S, self._rank_all),
            every(cfg.delta_period_s, self._fetch, cfg.jitter, self._rng),
        ]

    async def stop(self) -> None:
        """Stop watching."""
        for subscription in self._subscriptions:
            subscription.cancel()
        for driver in self._drivers.values():
            driver.stop()
        for group in self._groups.values():
            group.stop()
        self._relay.stop()
        self._hints.stop()

    def adopt(self, service: ServiceConfig) -> None:
        """Serve a new or changed service."""
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
        group.on_primary.append(lambda: self._primary_changed(name))
        group.on_status.append(
            lambda target, status, _at: self._status_seen(name, target, status)
        )
        driver.on_led.append(lambda term, primary: self._led(name, term, primary))
        driver.rank(self._watchers(service))
        group.poll()

    def view(self, service: str) -> GroupView:
        """Return what is known of a service's group."""
        self._used_at[service] = self._timer.now()
        return self._groups[service].view

    def on_primary(self, callback: OnPrimary) -> None:
        """Call back with service, term and primary (or None) after each change."""
        self._on_primary.append(callback)

    async def acknowledge(
        self,
        service: str,
        target: str,
        term: int,
        deadline: float,
        position: Position | None = None,
    ) -> Position:
        """Return the position of a write that has committed, once a majority holds it.

        `position` is the commit's own where the caller knows it. Raises Refusal.
        """
        waiter = Waiter(target, term, self._timer.now(), position)
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
        """Return once what a primary's read saw is held by a majority in its term.

        `since` is when the read was sent, where the caller knows it. Raises Refusal.
        """
        since = self._timer.now() if since is None else since
        covered = max(position, Position(term, 0))
        await self._wait(service, Waiter(target, term, since, covered, True), deadline)

    async def next_status(self, service: str, until: float) -> bool:
        """Return whether a target's status came in before a monotonic time."""
        return await self._groups[service].next_status(until)

    def suspect(self, service: str, target: str, reason: str) -> None:
        """Look at a target again at once, on evidence from requests."""
        driver = self._drivers.get(service)
        if driver is not None:
            log.debug("A target is suspected.", target=target, reason=reason)
            driver.event(ev.Suspected(target))

    async def _wait(self, service: str, waiter: Waiter, deadline: float) -> Position:
        settled = await self._groups[service].wait(waiter, deadline)
        code = codes.ACK_TIMEOUT if settled is None else settled.code
        if code is not None:
            self._metrics.refuse(code, service)
            raise Refusal(code)
        return settled.position

    def _tick(self) -> None:
        for driver in self._drivers.values():
            if driver.watches:
                driver.event(ev.Tick())

    def _rank_all(self) -> None:
        for name, driver in self._drivers.items():
            driver.rank(self._watchers(self._groups[name].service))

    def _fetch(self) -> None:
        now = self._timer.now()
        used = [name for name in self._drivers if self._is_used(name, now)]
        wanted = {name: self._drivers[name].watchers for name in used}
        self._relay.fetch({name: vms for name, vms in wanted.items() if vms})
        self._poll_all(tuple(name for name, vms in wanted.items() if not vms))

    def _is_used(self, name: str, now: float) -> bool:
        used_at = self._used_at.get(name, float("-inf"))
        recent = now - used_at <= self._cfg.interest_s
        return recent and not self._drivers[name].watches

    def _watched_view(self, service: str) -> GroupView | None:
        driver = self._drivers.get(service)
        watches = driver is not None and driver.watches
        return self._groups[service].view if watches else None

    def _poll_all(self, services: tuple[str, ...]) -> None:
        for service in services:
            self._groups[service].poll()

    def _take(self, row: GroupRow, asked_at: float) -> None:
        group = self._groups[row.service]
        if row.primary is not None:
            group.announce(row.term, row.primary)
        for target in row.targets:
            group.observe(target.target, unpack(target, asked_at))

    def _on_silence(self, vm: str, message: GroupSilence) -> None:
        driver = self._drivers.get(message.service)
        if driver is not None:
            report = (message.primary, message.term, message.silence_s)
            driver.event(ev.PeerReported(vm, *report))

    def _on_takeover(self, vm: str, message: GroupTakeover) -> None:
        driver = self._drivers.get(message.service)
        if driver is not None:
            driver.event(ev.PeerTakeover(message.term))

    def _on_led(self, vm: str, message: GroupLed) -> None:
        group = self._groups.get(message.service)
        if group is not None and group.announce(message.term, message.primary):
            self._bus.broadcast(message)
            group.poll()

    def _led(self, service: str, term: int, primary: str) -> None:
        self._hints.write(service, GroupHint(term, primary))

    def _primary_changed(self, service: str) -> None:
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

    def _status_seen(self, service: str, target: str, status: TargetStatus) -> None:
        if self._on_leaving is not None:
            self._on_leaving(target_key(service, target), status.leaving)
