"""Count calls and bytes of following services, in virtual time."""

import asyncio
import random

import click

from rosemaryridge.config import ConfigService
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import ServicesSettings
from rosemaryridge.config import TargetConfig
from rosemaryridge.config import encode_service
from rosemaryridge.model import Endpoint
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import ManualTimer
from rosemaryridge_testbed.virtual import VirtualBus
from rosemaryridge_testbed.virtual import VirtualNetwork
from rosemaryridge_testbed.virtual import WaitingStore
from rosemaryridge_testbed.virtual import advance

_NEIGHBOURS = 4
_STEP_S = 0.01
_SETTLE_S = 10.0
_IDLE_S = 60.0
_LIMIT_S = 60.0


class _Trial:
    """Hold a virtual fleet that follows services."""

    def __init__(self, proxies: int, services: int, latency_s: float, seed: int):
        self.timer = ManualTimer()
        self.rng = random.Random(seed)
        self.network = VirtualNetwork(self.timer, self.rng, latency_s)
        self.store = WaitingStore(self.timer)
        self.names = [f"service{n}" for n in range(services)]
        self.cfg = ServicesSettings()
        self.buses: list[VirtualBus] = []
        self.followers: list[ConfigService] = []
        self._proxies = proxies

    async def start(self) -> None:
        """Publish every service and start every proxy at once."""
        for name in self.names:
            await self.publish(name, 0)
        for number in range(self._proxies):
            self._join(number)
        for follower in self.followers:
            await follower.start()
        await self.until(lambda: all(one.complete for one in self.followers))

    def _join(self, number: int) -> None:
        bus = VirtualBus(self.network, f"vm{number:04}", "domain")
        known = self.rng.sample(self.buses, min(_NEIGHBOURS, len(self.buses)))
        for other in known:
            bus.set_address(other.vm, other.endpoint)
        bus.set_neighbours([other.vm for other in known])
        self.buses.append(bus)
        watches = number < self.cfg.watchers
        rng = random.Random(self.rng.random())
        follower = ConfigService(
            self.cfg, self.timer, rng, self.store, bus, Metrics(), lambda: watches
        )
        self.followers.append(follower)

    async def publish(self, name: str, expected: int) -> int:
        """Publish a service of a usual size."""
        targets = tuple(
            TargetConfig(f"{name}-{n}", Endpoint("10.0.0.1", n), "domain", "region")
            for n in range(3)
        )
        value = encode_service(ServiceConfig(name, 0, "database", targets))
        return await self.store.put("service", name, value, expected)

    async def until(self, condition) -> float:
        """Move time on until a condition holds; return the seconds it took."""
        begin = self.timer.now()
        while not condition():
            if self.timer.now() - begin > _LIMIT_S:
                raise click.ClickException("the fleet did not settle")
            await advance(self.timer, _STEP_S, _STEP_S)
        return self.timer.now() - begin

    def in_force(self, name: str, revision: int) -> bool:
        """Return whether every proxy has a revision in force."""
        return all(one.current()[name].revision == revision for one in self.followers)


async def _run(
    proxies: int, services: int, changes: int, latency_s: float, seed: int
) -> None:
    trial = _Trial(proxies, services, latency_s, seed)
    await trial.start()
    click.echo(f"cold start of {proxies}: {trial.timer.now():.2f} s")
    click.echo(f"  calls: {trial.store.calls - services}")
    await advance(trial.timer, _SETTLE_S, _STEP_S)
    await _measure_idle(trial, proxies)
    await _measure_changes(trial, changes)


async def _measure_idle(trial: _Trial, proxies: int) -> None:
    calls, sent = trial.store.calls, trial.network.bytes
    await advance(trial.timer, _IDLE_S, _STEP_S)
    rate = (trial.store.calls - calls) / _IDLE_S
    each = (trial.network.bytes - sent) / _IDLE_S / proxies
    click.echo(f"no change: {rate:.2f} calls/s in all, {each:.0f} B/s a proxy")


async def _measure_changes(trial: _Trial, changes: int) -> None:
    took, calls, sent = [], trial.store.calls, trial.network.bytes
    begin = trial.timer.now()
    for number in range(changes):
        name = trial.names[number % len(trial.names)]
        known = trial.followers[0].current()[name].revision
        revision = await trial.publish(name, known)
        took.append(await trial.until(lambda n=name, r=revision: trial.in_force(n, r)))
        await advance(trial.timer, trial.rng.random(), _STEP_S)
    passed_s = trial.timer.now() - begin
    spent = trial.store.calls - calls - changes
    each = (trial.network.bytes - sent) / passed_s / len(trial.followers)
    took.sort()
    click.echo(
        f"{changes} changes in {passed_s:.0f} s: in force everywhere after "
        f"{took[len(took) // 2]:.2f} s (median), {took[-1]:.2f} s (most)"
    )
    click.echo(f"  {spent / passed_s:.1f} calls/s in all, {each:.0f} B/s a proxy")


@click.command()
@click.option("--proxies", default=100, show_default=True)
@click.option("--services", default=70, show_default=True)
@click.option("--changes", default=20, show_default=True)
@click.option("--latency-ms", default=1.5, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(
    proxies: int, services: int, changes: int, latency_ms: float, seed: int
) -> None:
    """Count calls and bytes of following services, in virtual time."""
    asyncio.run(_run(proxies, services, changes, latency_ms / 1000.0, seed))


if __name__ == "__main__":
    main()
