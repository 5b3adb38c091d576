"""Print revisions and their changes."""

import typing as t

import click

from rosemaryridge.cli._common import table
from rosemaryridge.config import Difference
from rosemaryridge.config import Plan
from rosemaryridge.config import Revision
from rosemaryridge.config import differences

_SHOWN_CHANGES = 3


def show_plan(plan: Plan) -> None:
    """Print the changes that publishing a service would make."""
    name, stored = plan.service.name, plan.base.version
    if not plan.changes:
        click.echo(f"{name}: unchanged, revision {stored}")
        return
    click.echo(f"{name}: changes over revision {stored}" if stored else f"{name}: new")
    show_changes(plan.changes)


def show_changes(changes: t.Iterable[Difference], err: bool = False) -> None:
    """Print one line for each change."""
    for change in changes:
        click.echo(f"  {change}", err=err)


def history_table(revisions: t.Sequence[Revision]) -> str:
    """Return a table of revisions and the paths that each revision changed."""
    rows = [_history_row(*pair) for pair in _with_previous(revisions)]
    return table(("revision", "at", "by", "changes", "note"), rows)


def _with_previous(
    revisions: t.Sequence[Revision],
) -> t.Iterator[tuple[Revision, dict[str, t.Any]]]:
    for position, revision in enumerate(revisions):
        later = revisions[position + 1 : position + 2]
        yield revision, later[0].document if later else {}


def _history_row(revision: Revision, previous: dict[str, t.Any]) -> tuple[t.Any, ...]:
    publication = revision.publication
    changes = differences(previous, revision.document)
    paths = [change.path for change in changes[:_SHOWN_CHANGES]]
    more = len(changes) - len(paths)
    text = ", ".join(paths) + (f" and {more} more" if more > 0 else "")
    return (
        revision.revision,
        publication.at or None,
        publication.by or None,
        text,
        publication.note or None,
    )
