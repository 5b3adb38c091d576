"""Collect the status of all proxies through one of them."""

import asyncio
import dataclasses
import sys
import typing as t

import click

from rosemaryridge.cli._admin_client import AdminClient
from rosemaryridge.exceptions import Refusal

_MAX_CONCURRENT = 32


@dataclasses.dataclass(frozen=True, slots=True)
class FleetView:
    """Hold the status sections by VM and the VMs that did not answer."""

    answers: dict[str, dict[str, t.Any]]
    silent: tuple[str, ...]


class _Progress:
    """Show on a terminal how many proxies have been queried."""

    def __init__(self, total: int):
        self._total = total
        self._done = 0
        self._is_terminal = sys.stderr.isatty()

    def step(self) -> None:
        self._done += 1
        if self._is_terminal:
            text = f"\r{self._done} of {self._total} proxies queried"
            click.echo(text, err=True, nl=False)

    def end(self) -> None:
        if self._is_terminal:
            click.echo("\r" + " " * 40 + "\r", err=True, nl=False)


async def collect_fleet(admin: AdminClient, *sections: str) -> FleetView:
    """Query every live proxy for sections of its status."""
    peers = await admin.status("peers")
    vms = sorted(peers["peers"]["live"])
    progress = _Progress(len(vms))
    semaphore = asyncio.Semaphore(_MAX_CONCURRENT)
    answers: dict[str, dict[str, t.Any]] = {}

    async def query(vm: str) -> None:
        async with semaphore:
            try:
                answers[vm] = await admin.status_of(vm, *sections)
            except Refusal:
                pass
            progress.step()

    await asyncio.gather(*map(query, vms))
    progress.end()
    ordered = {vm: answers[vm] for vm in vms if vm in answers}
    return FleetView(ordered, tuple(vm for vm in vms if vm not in answers))
