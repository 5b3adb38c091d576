"""Count store calls and peer bytes of config distribution, in virtual time."""

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
_SETTLE_TIMEOUT_S = 60.0


class _VirtualFleet:
    """Run the config services of a fleet on a virtual network and store."""

    def __init__(self, proxies: int, services: int, latency_s: float, seed: int):
        self.timer = ManualTimer()
        self.rng = random.Random(seed)
        self.network = VirtualNetwork(self.timer, self.rng, latency_s)
        self.store = WaitingStore(self.timer)
        self.names = [f"service{n}" for n in range(services)]
        self.cfg = ServicesSettings()
        self.buses: list[VirtualBus] = []
        self.configs: list[ConfigService] = []
        self._proxies = proxies

    async def start(self) -> None:
        """Publish every service, start every proxy and wait until all are complete."""
        for name in self.names:
            await self.publish(name, 0)
        for number in range(self._proxies):
            self._add_proxy(number)
        for config in self.configs:
            await config.start()
        await self.advance_until(
            lambda: all(config.complete for config in self.configs)
        )

    def _add_proxy(self, number: int) -> None:
        bus = VirtualBus(self.network, f"vm{number:04}", "domain")
        neighbours = self.rng.sample(self.buses, min(_NEIGHBOURS, len(self.buses)))
        for other in neighbours:
            bus.set_address(other.vm, other.endpoint)
        bus.set_neighbours([other.vm for other in neighbours])
        self.buses.append(bus)
        watches = number < self.cfg.watchers
        rng = random.Random(self.rng.random())
        config = ConfigService(
            self.cfg, self.timer, rng, self.store, bus, Metrics(), lambda: watches
        )
        self.configs.append(config)

    async def publish(self, name: str, expected: int) -> int:
        """Publish a service with three targets; return its revision."""
        targets = tuple(
            TargetConfig(f"{name}-{n}", Endpoint("10.0.0.1", n), "domain", "region")
            for n in range(3)
        )
        value = encode_service(ServiceConfig(name, 0, "database", targets))
        return await self.store.put("service", name, value, expected)

    async def advance_until(self, condition) -> float:
        """Advance time until a condition holds; return the virtual seconds passed."""
        begin = self.timer.now()
        while not condition():
            if self.timer.now() - begin > _SETTLE_TIMEOUT_S:
                raise click.ClickException(
                    "the fleet did not settle in time; try fewer proxies"
                )
            await advance(self.timer, _STEP_S, _STEP_S)
        return self.timer.now() - begin

    def is_in_force(self, name: str, revision: int) -> bool:
        """Return whether every proxy has this revision of a service in force."""
        return all(
            config.current()[name].revision == revision for config in self.configs
        )


async def _run(
    proxies: int, services: int, changes: int, latency_s: float, seed: int
) -> None:
    fleet = _VirtualFleet(proxies, services, latency_s, seed)
    await fleet.start()
    click.echo(f"cold start of {proxies}: {fleet.timer.now():.2f} s")
    click.echo(f"  calls: {fleet.store.calls - services}")
    await advance(fleet.timer, _SETTLE_S, _STEP_S)
    await _measure_idle(fleet, proxies)
    await _measure_changes(fleet, changes)


async def _measure_idle(fleet: _VirtualFleet, proxies: int) -> None:
    calls, sent = fleet.store.calls, fleet.network.bytes
    await advance(fleet.timer, _IDLE_S, _STEP_S)
    rate = (fleet.store.calls - calls) / _IDLE_S
    proxy_rate = (fleet.network.bytes - sent) / _IDLE_S / proxies
    click.echo(f"no change: {rate:.2f} calls/s in all, {proxy_rate:.0f} B/s a proxy")


async def _measure_changes(fleet: _VirtualFleet, changes: int) -> None:
    delays_s, calls, sent = [], fleet.store.calls, fleet.network.bytes
    begin = fleet.timer.now()
    for number in range(changes):
        name = fleet.names[number % len(fleet.names)]
        expected = fleet.configs[0].current()[name].revision
        revision = await fleet.publish(name, expected)
        delays_s.append(
            await fleet.advance_until(
                lambda n=name, r=revision: fleet.is_in_force(n, r)
            )
        )
        await advance(fleet.timer, fleet.rng.random(), _STEP_S)
    elapsed_s = fleet.timer.now() - begin
    change_calls = fleet.store.calls - calls - changes
    proxy_rate = (fleet.network.bytes - sent) / elapsed_s / len(fleet.configs)
    delays_s.sort()
    click.echo(
        f"{changes} changes in {elapsed_s:.0f} s: in force everywhere after "
        f"{delays_s[len(delays_s) // 2]:.2f} s (median), {delays_s[-1]:.2f} s (most)"
    )
    click.echo(
        f"  {change_calls / elapsed_s:.1f} calls/s in all, {proxy_rate:.0f} B/s a proxy"
    )


@click.command()
@click.option("--proxies", default=100, show_default=True)
@click.option("--services", default=70, show_default=True)
@click.option("--changes", default=20, show_default=True)
@click.option("--latency-ms", default=1.5, show_default=True)
@click.option("--seed", default=1, show_default=True)
def main(
    proxies: int, services: int, changes: int, latency_ms: float, seed: int
) -> None:
    """Count store calls and peer bytes of config distribution, in virtual time."""
    asyncio.run(_run(proxies, services, changes, latency_ms / 1000.0, seed))


if __name__ == "__main__":
    main()
