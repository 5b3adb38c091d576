"""Measure the speed and cost of dissemination among many members."""

import asyncio
import random

from rosemaryridge.config import MembershipSettings
from rosemaryridge.membership import Membership
from rosemaryridge.timer import ManualTimer
from rosemaryridge_testbed.experiments._registry import Row
from rosemaryridge_testbed.experiments._registry import experiment
from rosemaryridge_testbed.virtual import VirtualBus
from rosemaryridge_testbed.virtual import VirtualNetwork
from rosemaryridge_testbed.virtual import VirtualStore

_SIZES = (20, 60, 180)
_DOMAINS = 6
_LATENCY_S = 0.03
_JOIN_S = 0.2
_SETTLE_S = 40.0
_IDLE_S = 60.0
_STEP_S = 0.01


class _Fleet:
    def __init__(self, seed: int):
        self.timer = ManualTimer()
        self.network = VirtualNetwork(self.timer, random.Random(seed), _LATENCY_S)
        self.members: list[Membership] = []
        self._store = VirtualStore()
        self._store.down = True

    async def join(self, size: int) -> None:
        for number in range(size):
            domain = f"domain-{number % _DOMAINS}"
            bus = VirtualBus(self.network, f"proxy-{number:04}", domain)
            seeds = [member.identity.endpoint for member in self.members[:3]]
            member = Membership(
                MembershipSettings(),
                self.timer,
                random.Random(number),
                bus.identity,
                bus,
                self._store,
                seeds,
            )
            await member.start()
            self.members.append(member)
            self.timer.advance(_JOIN_S)
        self.timer.advance(_SETTLE_S)

    def time_until(self, condition, limit_s: float = 30.0) -> float:
        """Return seconds until a condition holds for all members, at most `limit_s`."""
        waited_s = 0.0
        while not all(map(condition, self.members)) and waited_s < limit_s:
            self.timer.advance(_STEP_S)
            waited_s += _STEP_S
        return waited_s

    def idle_rate(self) -> tuple[float, float]:
        """Return the messages and bytes a second per idle member."""
        messages, size = self.network.messages, self.network.bytes
        self.timer.advance(_IDLE_S)
        scale = _IDLE_S * len(self.members)
        messages = self.network.messages - messages
        return messages / scale, (self.network.bytes - size) / scale


async def _measure(size: int, seed: int) -> Row:
    fleet = _Fleet(seed)
    await fleet.join(size)
    messages, idle_bytes = fleet.idle_rate()
    before = fleet.network.bytes
    fleet.members[0].observe_target("t1", leaving=True)
    known_s = fleet.time_until(lambda member: member.is_target_draining("t1"))
    flood = fleet.network.bytes - before
    victim = fleet.members.pop()
    fleet.network.crash(victim.identity.vm)
    dead_s = fleet.time_until(lambda member: len(member.live()) == size - 1)
    streams = [len(member._bus.peers()) for member in fleet.members]
    return {
        "members": size,
        "streams mean": round(sum(streams) / len(streams), 1),
        "streams most": max(streams),
        "idle msg/s": round(messages, 3),
        "idle B/s": round(idle_bytes, 1),
        "leaving known s": round(known_s, 2),
        "B/member for it": round(flood / size, 1),
        "death known s": round(dead_s, 2),
    }


@experiment("spread")
def run(seed: int) -> list[Row]:
    """Measure fleets of three sizes with the store down."""
    return [asyncio.run(_measure(size, seed)) for size in _SIZES]
