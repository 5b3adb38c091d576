"""Inject faults into proxies, targets, the links between them and the store."""

import asyncio
import random
import signal
import typing as t

from rosemaryridge_testbed.link import LinkFaults
from rosemaryridge_testbed.site import RawJson
from rosemaryridge_testbed.site import SiteTarget

if t.TYPE_CHECKING:
    from rosemaryridge_testbed.soak._soak import Soak

# Faults that an operator orders; statements of callers outlast them.
PLANNED_FAULTS = frozenset(
    ("change_config", "drain_target", "reload_proxies", "slow_answers", "stop_proxy")
)
# Those of them that leave no outcome unknown.
STOPPING_FAULTS = frozenset(("change_config", "reload_proxies", "stop_proxy"))

# Faults that are injected only where they are named, or settings are drawn.
NAMED_FAULTS = frozenset(("missed_commits",))

Fault = t.Callable[["Soak", random.Random], t.Awaitable[None]]
FAULTS: dict[str, Fault] = {}


_REFUSED_WORDS = ("SET", "RESET", "PREPARE", "BEGIN", "ROLLBACK", "COMMIT", "STATUS")
_ODD_SPECS = (
    RawJson("[" * 20_000 + "]" * 20_000),
    RawJson("9" * 6000),
    RawJson("1e999"),
    {"address": "127.0.0.1:70000", "failure_domain": "a", "stream_port": 1e300},
)


def _fault(fault: Fault) -> Fault:
    FAULTS[fault.__name__.strip("_")] = fault
    return fault


def _draw_duration_s(rng: random.Random) -> float:
    return rng.uniform(0.2, 3.0)


@_fault
async def _pause_proxy(soak: "Soak", rng: random.Random) -> None:
    name = rng.choice(soak.names)
    soak.signal(name, signal.SIGSTOP)
    await asyncio.sleep(_draw_duration_s(rng))
    soak.signal(name, signal.SIGCONT)


@_fault
async def _kill_proxy(soak: "Soak", rng: random.Random) -> None:
    name = rng.choice(soak.names)
    soak.signal(name, signal.SIGKILL)
    await asyncio.sleep(_draw_duration_s(rng))
    soak.restart(name)


@_fault
async def _stop_proxy(soak: "Soak", rng: random.Random) -> None:
    name = rng.choice(soak.names)
    soak.signal(name, signal.SIGTERM)
    if rng.random() < 0.5:
        soak.signal(name, signal.SIGHUP)
    await soak.wait_until_ended(name)
    soak.restart(name)


@_fault
async def _reload_proxies(soak: "Soak", rng: random.Random) -> None:
    for name in soak.names:
        soak.signal(name, signal.SIGHUP)
        await asyncio.sleep(0.1 * rng.random())


def _choose_target(soak: "Soak", rng: random.Random) -> SiteTarget:
    targets = soak.group.targets
    if soak.group.primary and rng.random() < 0.5:
        return targets[soak.group.primary]
    return rng.choice(list(targets.values()))


@_fault
async def _crash_target(soak: "Soak", rng: random.Random) -> None:
    target = _choose_target(soak, rng)
    await target.crash()
    await asyncio.sleep(_draw_duration_s(rng))
    await target.restart()


@_fault
async def _spoil_target(soak: "Soak", rng: random.Random) -> None:
    target = _choose_target(soak, rng)
    target.fault = rng.choice(("mute", "lossy"))
    await asyncio.sleep(_draw_duration_s(rng))
    target.fault = ""


@_fault
async def _slow_target(soak: "Soak", rng: random.Random) -> None:
    target = _choose_target(soak, rng)
    target.work_s = 0.1
    await asyncio.sleep(_draw_duration_s(rng))
    target.work_s = 0.002


@_fault
async def _slow_answers(soak: "Soak", rng: random.Random) -> None:
    """Let the statements of a moment take seconds, so that they outlast a stop."""
    target = _choose_target(soak, rng)
    target.work_s = rng.uniform(1.0, 6.0)
    await asyncio.sleep(0.2 * rng.random())
    target.work_s = 0.002


@_fault
async def _lost_entry(soak: "Soak", rng: random.Random) -> None:
    """Start a proxy while the entry of a primary that serves others is gone."""
    target, name = soak.group.targets.get(soak.group.primary), rng.choice(soak.names)
    if target is None or target.cut_off:
        return
    soak.signal(name, signal.SIGKILL)
    target.cut_off = True
    await soak.wait_until_ended(name)
    soak.site.store.erase("servers", target.name)
    soak.restart(name)
    # The process looks for a primary for 1.2 s before it acts.
    await asyncio.sleep(rng.uniform(3.0, 5.0))
    soak.site.register(target)
    target.rejoin()


@_fault
async def _leaving_primary(soak: "Soak", rng: random.Random) -> None:
    """Let a primary leave while nothing that could succeed it answers."""
    primary = soak.group.targets.get(soak.group.primary)
    if primary is None or primary.draining:
        return
    others = [tgt for tgt in soak.group.targets.values() if tgt is not primary]
    for target in others:
        target.fault = "mute"
    primary.draining = True
    soak.site.register(primary)
    with soak.watch_leaving(primary):
        await asyncio.sleep(soak.site.options.drain_ms / 1000 + _draw_duration_s(rng))
    primary.draining = False
    soak.site.register(primary)
    for target in others:
        target.fault = ""


@_fault
async def _refusing_target(soak: "Soak", rng: random.Random) -> None:
    """Refuse a part of some kinds of requests; the states in the answers are true."""
    target, share = _choose_target(soak, rng), rng.uniform(0.2, 0.6)
    words = rng.sample(_REFUSED_WORDS, rng.randint(1, len(_REFUSED_WORDS)))
    target.refuses = lambda word: word in words and rng.random() < share
    await asyncio.sleep(_draw_duration_s(rng))
    target.refuses = lambda word: False


@_fault
async def _lagging_replicas(soak: "Soak", rng: random.Random) -> None:
    for target in soak.group.targets.values():
        target.apply_lag_s = rng.uniform(1.0, 8.0)
    await asyncio.sleep(_draw_duration_s(rng))
    for target in soak.group.targets.values():
        target.apply_lag_s = 0.0


@_fault
async def _drain_target(soak: "Soak", rng: random.Random) -> None:
    target = _choose_target(soak, rng)
    target.draining = True
    soak.site.register(target)
    await asyncio.sleep(_draw_duration_s(rng))
    target.draining = False
    soak.site.register(target)


@_fault
async def _missed_commits(soak: "Soak", rng: random.Random) -> None:
    """Let a replica receive nothing, and the primary or the other replica go."""
    primary = soak.group.targets.get(soak.group.primary)
    if primary is None:
        return
    replicas = [tgt for tgt in soak.group.targets.values() if tgt is not primary]
    deaf, complete = rng.sample(replicas, 2)
    leaving = [tgt for tgt in (primary, complete) if rng.random() < 0.4]
    dark = [complete] if complete not in leaving and rng.random() < 0.4 else []
    deaf.deaf = True
    for target in leaving:
        target.draining = True
        soak.site.register(target)
    await asyncio.sleep(_draw_duration_s(rng))
    crashes = rng.random() < 0.6
    if crashes:
        await primary.crash()
    for target in dark:
        target.fault = "mute"
    await asyncio.sleep(_draw_duration_s(rng))
    for target in dark:
        target.fault = ""
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    deaf.hear()
    if crashes:
        await primary.restart()
    for target in leaving:
        target.draining = False
        soak.site.register(target)


@_fault
async def _spoil_way(soak: "Soak", rng: random.Random) -> None:
    channel = rng.choice(soak.channels)
    kind = rng.choice(("late", "up", "down", "both", "silent", "reset"))
    faults = {
        "late": LinkFaults(latency_ms=60.0, jitter_ms=60.0),
        "up": LinkFaults(cut_up=True),
        "down": LinkFaults(cut_down=True),
        "both": LinkFaults(cut_up=True, cut_down=True),
    }
    if kind == "silent":
        channel.silence()
    elif kind == "reset":
        channel.close_all()
    else:
        channel.set_faults(faults[kind])
        await asyncio.sleep(_draw_duration_s(rng))
        channel.set_faults(LinkFaults())


@_fault
async def _split_primary(soak: "Soak", rng: random.Random) -> None:
    """Cut the primary off from all, then from the other targets only."""
    targets = list(soak.group.targets.values())
    target = _choose_target(soak, rng)
    channel = soak.channels[targets.index(target)]
    target.cut_off = True
    channel.set_faults(LinkFaults(cut_up=True, cut_down=True))
    await asyncio.sleep(_draw_duration_s(rng))
    channel.set_faults(LinkFaults())
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    target.rejoin()


@_fault
async def _spoil_store(soak: "Soak", rng: random.Random) -> None:
    store = soak.site.store
    store.fault = rng.choice(("busy", "many", "silent", "lost"))
    if rng.random() < 0.5:
        store.cut_watches()
    await asyncio.sleep(_draw_duration_s(rng))
    store.fault = ""


@_fault
async def _silent_watches(soak: "Soak", rng: random.Random) -> None:
    soak.site.store.silence_watches()


@_fault
async def _silent_connections(soak: "Soak", rng: random.Random) -> None:
    _choose_target(soak, rng).silence_connections()


@_fault
async def _change_config(soak: "Soak", rng: random.Random) -> None:
    for _ in range(rng.randint(1, 3)):
        soak.toggle_route()
        await asyncio.sleep(rng.uniform(0.0, 1.5))


@_fault
async def _forgetful_store(soak: "Soak", rng: random.Random) -> None:
    soak.site.store.compact()


@_fault
async def _restored_store(soak: "Soak", rng: random.Random) -> None:
    """Bring the store back from a copy that is some seconds old."""
    store = soak.site.store
    copy = store.copy()
    await asyncio.sleep(_draw_duration_s(rng))
    store.fault = rng.choice(("busy", "silent"))
    await asyncio.sleep(rng.uniform(0.0, 1.0))
    store.fault = ""
    store.restore(copy)
    await asyncio.sleep(rng.uniform(0.0, 2.0))
    soak.site.write_again()


@_fault
async def _odd_entries(soak: "Soak", rng: random.Random) -> None:
    """Leave entries that cannot be read, also in place of a target's."""
    store, kinds = soak.site.store, ("servers", "proxies", "config", "failovers")
    for kind in kinds:
        store.write(kind, "odd", rng.choice(_ODD_SPECS))
    target = _choose_target(soak, rng)
    if rng.random() < 0.5:
        store.write("servers", target.name, rng.choice(_ODD_SPECS))
    await asyncio.sleep(_draw_duration_s(rng))
    soak.site.register(target)
    for kind in kinds:
        store.erase(kind, "odd")


@_fault
async def _lost_orders(soak: "Soak", rng: random.Random) -> None:
    soak.site.promotions_to_drop = 1
    await asyncio.sleep(_draw_duration_s(rng))
    soak.site.promotions_to_drop = 0
