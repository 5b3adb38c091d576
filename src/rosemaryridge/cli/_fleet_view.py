"""Collect the status of every proxy by way of one."""

import asyncio
import dataclasses
import sys
import typing as t

import click

from rosemaryridge.cli._admin_client import AdminClient
from rosemaryridge.exceptions import Refusal

_AT_ONCE = 32


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """Hold the sections of those who answered, and the names of the others."""

    answers: dict[str, dict[str, t.Any]]
    silent: tuple[str, ...]


class _Progress:
    """Show on a terminal how many have answered."""

    def __init__(self, total: int):
        self._total = total
        self._done = 0
        self._shown = sys.stderr.isatty()

    def step(self) -> None:
        self._done += 1
        if self._shown:
            text = f"\r{self._done} of {self._total} proxies asked"
            click.echo(text, err=True, nl=False)

    def end(self) -> None:
        if self._shown:
            click.echo("\r" + " " * 40 + "\r", err=True, nl=False)


async def collect_fleet(admin: AdminClient, *sections: str) -> FleetView:
    """Ask every live proxy for sections of its status."""
    peers = await admin.status("peers")
    vms = sorted(peers["peers"]["live"])
    progress = _Progress(len(vms))
    gate = asyncio.Semaphore(_AT_ONCE)
    answers: dict[str, dict[str, t.Any]] = {}

    async def ask(vm: str) -> None:
        async with gate:
            try:
                answers[vm] = await admin.status_of(vm, *sections)
            except Refusal:
                pass
            progress.step()

    await asyncio.gather(*map(ask, vms))
    progress.end()
    ordered = {vm: answers[vm] for vm in vms if vm in answers}
    return FleetView(ordered, tuple(vm for vm in vms if vm not in answers))
