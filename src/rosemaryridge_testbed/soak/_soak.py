"""Run one seed: start the programs and callers, inject faults, check the results."""

import asyncio
import collections
import contextlib
import dataclasses
import itertools
import pathlib
import random
import signal
import tempfile
import time
import typing as t

from rosemaryridge.core.owners import OwnersMode
from rosemaryridge.platform.settings import OWNERS_VARIABLE
from rosemaryridge_testbed.fleet import Processes
from rosemaryridge_testbed.fleet import eventually
from rosemaryridge_testbed.fleet import free_ports
from rosemaryridge_testbed.link import Channel
from rosemaryridge_testbed.link import Link
from rosemaryridge_testbed.link import LinkSpec
from rosemaryridge_testbed.site import Client
from rosemaryridge_testbed.site import Site
from rosemaryridge_testbed.site import SiteOptions
from rosemaryridge_testbed.site._target import SiteGroup
from rosemaryridge_testbed.site._target import SiteTarget
from rosemaryridge_testbed.soak import _businesses
from rosemaryridge_testbed.soak._callers import Caller
from rosemaryridge_testbed.soak._callers import Flood
from rosemaryridge_testbed.soak._callers import count_foreign
from rosemaryridge_testbed.soak._faults import FAULTS
from rosemaryridge_testbed.soak._faults import NAMED_FAULTS
from rosemaryridge_testbed.soak._faults import PLANNED_FAULTS
from rosemaryridge_testbed.soak._faults import STOPPING_FAULTS
from rosemaryridge_testbed.soak._ledger import Ledger
from rosemaryridge_testbed.soak._ledger import Rule

_SERVICE = "books"
_MODULE = "rosemaryridge.cli.entry"
_START_TIMEOUT_S = 30.0
# The deployments' limit on the time until all proxies serve after the last fault.
_RECOVERY_TIMEOUT_S = 15.0
# The strictest deployment's limit on the time until a configuration that is published
# when the last fault has ended is in force.
_CONFIG_TIMEOUT_S = 5.0
# Long enough for proxies to pass changes on.
_RELAYED_APPLY_MS = 6000
# A database whose route the faults add and remove; no caller uses it.
_TOGGLED_DATABASE = f"{_SERVICE}-toggled"
# Beside planned work, timeouts over half of the grace period, and drain times that are
# short, but longer than the 3 s for which a proxy may collect changes of targets.
_PLANNED_TIMEOUT_MS = 4000
_PLANNED_DRAIN_MS = 4000
# A proxy learns that a target leaves within this time.
_DRAIN_SLACK_S = 0.7
# `grace_s` of the settings, plus the longest pause of a proxy, plus a margin.
_END_TIMEOUT_S = 6.0 + 3.0 + 3.0


@dataclasses.dataclass(frozen=True, slots=True)
class SoakOptions:
    """Set the size of one run; `plant` makes every target violate a guarantee.

    `faults` names the faults to inject, empty for all; `fenced` is whether the platform
    checks the fences of promotion orders, `keyed` whether the configuration names
    businesses, `owned` whether proxies reach targets through owners, `relayed` whether
    they pass changes of the store on to each other, `drawn` whether the settings of the
    platform are drawn by the seed.
    """

    seed: int = 1
    proxies: int = 3
    callers: int = 20
    faults_s: float = 15.0
    plant: str = ""
    faults: tuple[str, ...] = ()
    fenced: bool = True
    keyed: bool = False
    owned: bool = False
    relayed: bool = False
    drawn: bool = False


def draw_settings(seed: int) -> SiteOptions:
    """Return settings of a platform within the ranges that its page describes."""
    rng = random.Random(f"settings/{seed}")
    return SiteOptions(
        sync_replicas=rng.choice((0, 1, 1)),
        lag_s=rng.choice((0.008, 0.02)),
        promotion_delay_s=rng.choice((0.3, 1.0)),
        timeout_ms=rng.choice((1000, 2500, 4000)),
        max_staleness_ms=rng.choice((1500, 2500)),
        tx_idle_ms=rng.choice((500, 3000)),
        drain_ms=rng.choice((4000, 7000)),
        grace_s=rng.choice((3, 6)),
    )


class Soak:
    """Run one seed, and end its processes and servers on exit."""

    def __init__(self, options: SoakOptions):
        self.options = options
        businesses = _businesses.BUSINESSES if options.keyed else ()
        faults = set(options.faults)
        self._is_planned = bool(faults) and faults <= PLANNED_FAULTS
        self._only_stops = bool(faults) and faults <= STOPPING_FAULTS
        self._only_leaves = faults == {"leaving_primary"}
        # Targets that may not get new work, from when and until when.
        self._leaving: list[tuple[str, float, float]] = []
        defaults = draw_settings(options.seed) if options.drawn else SiteOptions()
        self.site = Site(
            dataclasses.replace(
                defaults,
                fenced=options.fenced,
                timeout_ms=(
                    _PLANNED_TIMEOUT_MS if self._is_planned else defaults.timeout_ms
                ),
                drain_ms=(
                    _PLANNED_DRAIN_MS if self._only_leaves else defaults.drain_ms
                ),
                businesses=businesses,
                config_apply_ms=_RELAYED_APPLY_MS if options.relayed else None,
            )
        )
        self.ledger = Ledger()
        self.names = [f"vm-{number}" for number in range(options.proxies)]
        self.fault_counts: collections.Counter[str] = collections.Counter()
        self._directory = tempfile.TemporaryDirectory()
        mode = OwnersMode.OWNED if options.owned else OwnersMode.AUTO
        self._processes = Processes(
            pathlib.Path(self._directory.name), {OWNERS_VARIABLE: mode.value}
        )
        self._addresses: dict[str, str] = {}
        self._links: list[Link] = []
        self._ending: set[str] = set()
        self._probes = itertools.count()
        self._versions = itertools.count(2)
        self._has_toggled_route = False

    @property
    def group(self) -> SiteGroup:
        """Return the group that the callers use."""
        return self.site.groups[_SERVICE]

    @property
    def channels(self) -> list[Channel]:
        """Return the channel of each target's link."""
        return [link.channel(link.spec.name) for link in self._links]

    async def __aenter__(self) -> "Soak":
        await self.site.start()
        for target in self.group.targets.values():
            await self._insert_link(target)
        for name in self.names:
            self._start_proxy(name)
        await self._wait_until_serving(_START_TIMEOUT_S)
        if self.options.plant:
            for target in self.group.targets.values():
                target.plant = self.options.plant
            self.site.store.hide_changes = self.options.plant == "unseen"
        return self

    async def __aexit__(self, *_exc: object) -> None:
        self._processes.end_all()
        for link in self._links:
            await link.stop()
        await self.site.stop()
        self._directory.cleanup()

    async def run(self) -> collections.Counter[Rule]:
        """Inject faults for `faults_s`; return the violations of each guarantee."""
        stopping = asyncio.Event()
        callers = [
            asyncio.ensure_future(self._create_caller(number).run(stopping))
            for number in range(self.options.callers)
        ]
        if self.options.keyed:
            callers.append(asyncio.ensure_future(self._create_flood().run(stopping)))
        await self._inject_faults()
        self.toggle_route()
        config_due_at = time.monotonic() + _CONFIG_TIMEOUT_S
        recovered = True
        try:
            await self._wait_until_serving(_RECOVERY_TIMEOUT_S)
        except TimeoutError:
            recovered = False
        await asyncio.sleep(config_due_at - time.monotonic())
        outdated = await self._count_outdated_proxies() if recovered else 0
        revoked = await self._count_unaware_proxies() if recovered else 0
        stopping.set()
        await asyncio.gather(*callers)
        longest = max(self.group.targets.values(), key=lambda target: len(target.log))
        log = [commit.data for commit in longest.log]
        violations = self.ledger.count_violations(
            log,
            self.group.rolled_back,
            set(self.group.split_commits),
            not self.group.sync_replicas,
        )
        violations[Rule.LOST] += sum(len(lost.commits) for lost in self.group.lost)
        violations[Rule.PINNED] += count_foreign(self.group.executed)
        violations += self._count_of_planned_work()
        violations[Rule.RECOVER] += not recovered
        violations[Rule.CONFIG] += outdated
        violations[Rule.REVOKED] += revoked
        if self.options.keyed:
            violations += _businesses.count_violations(
                self.group.executed, self.site.options
            )
        return +violations

    @contextlib.contextmanager
    def watch_leaving(self, target: SiteTarget) -> t.Iterator[None]:
        """Check that a target that leaves meanwhile gets no new work after its time."""
        drain_s = self.site.options.drain_ms / 1000
        since = time.monotonic() + drain_s + _DRAIN_SLACK_S
        yield
        self._leaving.append((target.name, since, time.monotonic()))

    def _count_of_planned_work(self) -> collections.Counter[Rule]:
        """Count the violations of what holds where all faults are planned work."""
        executed = self.group.executed
        violations: collections.Counter[Rule] = collections.Counter()
        if self._is_planned:
            ran = {statement.id for statement in executed}
            violations[Rule.CUT] = len(self.ledger.cut & ran)
        if self._only_stops:
            violations[Rule.UNKNOWN] = self.ledger.unknown
        if self._only_leaves:
            violations[Rule.DRAIN] = sum(
                statement.target == name and since < statement.at < until
                for statement in executed
                if statement.id != "-" and not statement.in_transaction
                for name, since, until in self._leaving
            )
        return violations

    def toggle_route(self) -> None:
        """Publish a configuration that adds or removes one route."""
        self._has_toggled_route = not self._has_toggled_route
        added = (_TOGGLED_DATABASE,) if self._has_toggled_route else ()
        businesses = None
        if self.options.keyed:
            businesses = _businesses.businesses(self._has_toggled_route)
        self.site.publish(next(self._versions), added=added, businesses=businesses)

    def logs(self) -> dict[str, str]:
        """Return the output of each program."""
        return {name: self._processes.log(name).read_text() for name in self.names}

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to a running program.

        A program that was sent SIGTERM or SIGKILL gets SIGCONT only.
        """
        if self._processes.exit_status(name) is not None:
            return
        if name not in self._ending or number is signal.SIGCONT:
            self._processes.signal(name, number)
            if number in (signal.SIGKILL, signal.SIGTERM):
                self._ending.add(name)

    async def wait_until_ended(self, name: str) -> None:
        """Wait until a program ends after SIGTERM or SIGKILL; raise TimeoutError."""
        # Another fault may have restarted the program already.
        await eventually(
            lambda: (
                name not in self._ending
                or self._processes.exit_status(name) is not None
            ),
            _END_TIMEOUT_S,
            f"end of {name}",
        )

    def restart(self, name: str) -> None:
        """Restart a program that has ended after SIGTERM or SIGKILL.

        SIGHUP also ends a program, before it has installed its handler for it; the
        platform restarts it then.
        """
        status = self._processes.exit_status(name)
        if status is not None and (name in self._ending or status == -signal.SIGHUP):
            self._ending.discard(name)
            self._processes.restart(name)

    async def _inject_faults(self) -> None:
        rng = random.Random(self.options.seed)
        left_out = frozenset() if self.options.drawn else NAMED_FAULTS
        usual = sorted(FAULTS.keys() - left_out)
        end = time.monotonic() + self.options.faults_s
        running: set[asyncio.Future[None]] = set()
        while time.monotonic() < end:
            name = rng.choice(self.options.faults or usual)
            self.fault_counts[name] += 1
            running.add(asyncio.ensure_future(FAULTS[name](self, rng)))
            await asyncio.sleep(rng.expovariate(1.0))
        await asyncio.gather(*running)
        for name in self.names:
            self.restart(name)

    def _create_caller(self, number: int) -> Caller:
        rng = random.Random(f"{self.options.seed}/{number}")
        addresses = list(self._addresses.values())
        key = _businesses.caller_business(number).keys[0]
        rest_s = 0.8 * self.site.options.tx_idle_ms / 1000 if self.options.drawn else 0
        return Caller(
            number, _SERVICE, self.site, addresses, self.ledger, rng, key, rest_s
        )

    def _create_flood(self) -> Flood:
        addresses = list(self._addresses.values())
        return Flood(f"{_SERVICE}-browse", addresses, _businesses.FLOOD.keys[0])

    async def _wait_until_serving(self, within_s: float) -> None:
        async with asyncio.timeout(within_s):
            for address in self._addresses.values():
                while not await self._is_serving(address):
                    await asyncio.sleep(0.1)

    async def _is_serving(self, address: str) -> bool:
        try:
            client = await Client.open(address, f"{_SERVICE}-orders")
            reply = await client.execute(f"WRITE probe p{next(self._probes)}")
            client.close()
        except (OSError, asyncio.IncompleteReadError, TimeoutError):
            return False
        return not reply.code

    async def _count_outdated_proxies(self) -> int:
        outdated = 0
        for address in self._addresses.values():
            try:
                client = await Client.open(address, _TOGGLED_DATABASE)
            except ConnectionRefusedError:
                outdated += self._has_toggled_route
            else:
                client.close()
                outdated += not self._has_toggled_route
        return outdated

    async def _count_unaware_proxies(self) -> int:
        """Return how many proxies serve the toggled key although it was taken away."""
        if not self.options.keyed or self._has_toggled_route:
            return 0
        unaware = 0
        for address in self._addresses.values():
            try:
                client = await Client.open(
                    address, f"{_SERVICE}-own", _businesses.TOGGLED_KEY
                )
            except ConnectionRefusedError:
                continue
            client.close()
            unaware += 1
        return unaware

    async def _insert_link(self, target: t.Any) -> None:
        host, _, port = target.address.partition(":")
        ports = free_ports((target.name,))
        spec = LinkSpec(target.name, ports[target.name], host, int(port))
        link = Link(spec, random.Random(f"{self.options.seed}/{target.name}"))
        await link.start("127.0.0.1")
        self._links.append(link)
        target.address = f"127.0.0.1:{spec.port}"
        self.site.register(target)

    def _start_proxy(self, name: str) -> None:
        ports = free_ports((f"{name}-front", f"{name}-ready"))
        front, ready = ports.values()
        path = pathlib.Path(self._directory.name, f"{name}.json")
        self.site.write_settings(path, name, front, ready)
        self._addresses[name] = f"127.0.0.1:{front}"
        self._processes.start(name, _MODULE, str(path))
