"""Check service files and publish them to every proxy."""

import contextlib
import datetime
import getpass
import random
import sys
import typing as t

import click

from rosemaryridge import codes
from rosemaryridge.cli._collect import check_with_published
from rosemaryridge.cli._collect import collect
from rosemaryridge.cli._common import asynchronous
from rosemaryridge.cli._common import code_of
from rosemaryridge.cli._common import describe
from rosemaryridge.cli._common import exit_status
from rosemaryridge.cli._common import fail
from rosemaryridge.cli._common import version_option
from rosemaryridge.cli._revisions import history_table
from rosemaryridge.cli._revisions import show_changes
from rosemaryridge.cli._revisions import show_plan
from rosemaryridge.config import Plan
from rosemaryridge.config import Publication
from rosemaryridge.config import Publisher
from rosemaryridge.config import Revision
from rosemaryridge.config import RevisionConflict
from rosemaryridge.config import SourcedService
from rosemaryridge.config import find_revision
from rosemaryridge.exceptions import Refusal
from rosemaryridge.exceptions import SettingsError
from rosemaryridge.exceptions import StoreError
from rosemaryridge.objects import HttpObjectStore
from rosemaryridge.objects import PlatformSettings
from rosemaryridge.telemetry import Metrics
from rosemaryridge.timer import LoopTimer
from rosemaryridge.wire import Verifier

_CALLS_PER_S = 50
_CALL_BURST = 100

platform_option = click.option(
    "--platform",
    "base_url",
    required=True,
    envvar="ROSEMARYRIDGE_PLATFORM",
    help="Base URL of the platform's object API.",
)
timeout_option = click.option(
    "--timeout",
    "total_s",
    default=30.0,
    show_default=True,
    help="Time to retry a call while the object API is unavailable, in seconds.",
)
by_option = click.option(
    "--by",
    default=getpass.getuser,
    help="Name of the publisher; by default the login name.",
)
paths_argument = click.argument(
    "paths", nargs=-1, required=True, type=click.Path(exists=True)
)


@contextlib.asynccontextmanager
async def _open_publisher(base_url: str, total_s: float) -> t.AsyncIterator[Publisher]:
    cfg = PlatformSettings(
        base_url=base_url, calls_per_s=_CALLS_PER_S, call_burst=_CALL_BURST
    )
    timer = LoopTimer()
    store = HttpObjectStore(cfg, timer, Metrics())
    try:
        yield Publisher(store, timer, random.Random(), total_s)
    finally:
        await store.close()


@click.group()
@version_option
def main() -> None:
    """Check service files and publish them to every proxy.

    PATHS are files, or directories that are searched for *.service.json. The exit
    status identifies the error; docs/CODES.md lists all statuses.
    """


@main.command()
@paths_argument
def check(paths: tuple[str, ...]) -> None:
    """Check files, alone and together, without the platform."""
    try:
        sources = collect(paths)
    except SettingsError as exc:
        fail(exc)
    click.echo(f"{len(sources)} service files are valid.")


@main.command()
@paths_argument
@platform_option
@timeout_option
@asynchronous
async def diff(paths: tuple[str, ...], base_url: str, total_s: float) -> None:
    """Show the changes that publishing the files would make."""
    sources = collect(paths)
    async with _open_publisher(base_url, total_s) as publisher:
        for plan in await _make_plans(publisher, sources):
            show_plan(plan)


@main.command()
@paths_argument
@platform_option
@timeout_option
@by_option
@click.option(
    "--note", default="", help="Reason for the change, stored in the history."
)
@click.option(
    "--expect",
    multiple=True,
    metavar="SERVICE=REVISION",
    help="Publish only if REVISION is the published revision of SERVICE.",
)
@click.option("--yes", is_flag=True, help="Publish without confirmation.")
@asynchronous
async def publish(
    paths: tuple[str, ...],
    base_url: str,
    total_s: float,
    by: str,
    note: str,
    expect: tuple[str, ...],
    yes: bool,
) -> None:
    """Publish the files; reject a service changed meanwhile."""
    sources = collect(paths)
    expected = _parse_expected(expect)
    async with _open_publisher(base_url, total_s) as publisher:
        plans = await _make_plans(publisher, sources)
        _check_expected(plans, expected)
        for plan in plans:
            show_plan(plan)
        changed = [plan for plan in plans if plan.changes]
        if changed and not yes:
            click.confirm(f"Publish {len(changed)} services?", abort=True)
        await _publish_all(publisher, changed, _make_publication(by, note))


@main.command()
@click.argument("service")
@platform_option
@timeout_option
@asynchronous
async def history(service: str, base_url: str, total_s: float) -> None:
    """Show a service's revisions, newest first."""
    async with _open_publisher(base_url, total_s) as publisher:
        revisions = await publisher.history(service)
    _require_history(revisions, service)
    click.echo(history_table(revisions))


@main.command("roll-forward")
@click.argument("service")
@click.argument("revision", type=int)
@platform_option
@timeout_option
@by_option
@click.option("--yes", is_flag=True, help="Publish without confirmation.")
@asynchronous
async def roll_forward(
    service: str, revision: int, base_url: str, total_s: float, by: str, yes: bool
) -> None:
    """Publish an earlier REVISION again as a new one."""
    async with _open_publisher(base_url, total_s) as publisher:
        past = find_revision(await publisher.history(service), revision)
        if past is None:
            raise click.UsageError(f"{service} has no revision {revision}.")
        source = SourcedService(f"revision {revision}", past.service())
        (plan,) = await _make_plans(publisher, [source])
        show_plan(plan)
        if plan.changes and not yes:
            click.confirm(
                f"Publish the content of {service} revision {revision} again?",
                abort=True,
            )
        note = f"content of revision {revision}"
        await _publish_all(publisher, [plan], _make_publication(by, note))


@main.command()
@click.password_option(help="Password of the account; prompts if not given.")
def verifier(password: str) -> None:
    """Print a password verifier for an account in a service file."""
    click.echo(str(Verifier.of_password(password)))


async def _make_plans(
    publisher: Publisher, sources: t.Sequence[SourcedService]
) -> list[Plan]:
    check_with_published(sources, await publisher.published())
    return [await publisher.plan(source.service) for source in sources]


async def _publish_all(
    publisher: Publisher, plans: t.Sequence[Plan], publication: Publication
) -> None:
    worst = 0
    for plan in plans:
        try:
            revision = await publisher.publish(plan, publication)
            click.echo(f"{plan.service.name}: revision {revision} is published.")
        except (Refusal, StoreError) as exc:
            worst = max(worst, _report_failure(plan, exc))
    if worst:
        sys.exit(worst)


def _report_failure(plan: Plan, exc: Refusal | StoreError) -> int:
    code = code_of(exc) or codes.platform.STORE_DOWN
    click.echo(f"{plan.service.name}: {describe(exc, code)}", err=True)
    if isinstance(exc, RevisionConflict):
        click.echo("Changes in the conflicting revision:", err=True)
        show_changes(exc.changes, err=True)
    return exit_status(code)


def _make_publication(by: str, note: str) -> Publication:
    at = datetime.datetime.now(datetime.UTC).isoformat(timespec="milliseconds")
    return Publication(by, at, note)


def _parse_expected(options: tuple[str, ...]) -> dict[str, int]:
    expected = {}
    for option in options:
        name, _, revision = option.rpartition("=")
        if not name or not revision.isdigit():
            raise click.UsageError(f"--expect {option}: expected SERVICE=REVISION")
        expected[name] = int(revision)
    return expected


def _check_expected(plans: t.Iterable[Plan], expected: dict[str, int]) -> None:
    for plan in plans:
        name, stored = plan.service.name, plan.base.version
        wanted = expected.get(name, stored)
        if stored != wanted:
            detail = f"{name}: revision {stored} is published, expected {wanted}"
            raise Refusal(codes.config.REVISION_CONFLICT, detail)


def _require_history(revisions: t.Sequence[Revision], service: str) -> None:
    if not revisions:
        raise click.UsageError(f"{service} has no published revision.")


if __name__ == "__main__":
    main()
