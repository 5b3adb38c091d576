"""Provide what all command-line programs share."""

import asyncio
import functools
import sys
import typing as t

import click
import uvloop

import rosemaryridge
from rosemaryridge import codes
from rosemaryridge.codes import Code
from rosemaryridge.exceptions import Refusal
from rosemaryridge.exceptions import SettingsError
from rosemaryridge.exceptions import StoreConflict
from rosemaryridge.exceptions import StoreError
from rosemaryridge.exceptions import StoreLimited

_CODES_PER_AREA = 1000
_STATUSES_PER_AREA = 20

_T = t.TypeVar("_T")

version_option = click.version_option(
    rosemaryridge.__version__, message="%(prog)s %(version)s"
)
json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")


def exit_status(code: Code) -> int:
    """Return the exit status that represents a code."""
    area, number = divmod(code.number, _CODES_PER_AREA)
    return area * _STATUSES_PER_AREA + number


def code_of(exc: BaseException) -> Code | None:
    """Return the numbered code of an error, or None if it has none."""
    if isinstance(exc, Refusal):
        return exc.code
    if isinstance(exc, SettingsError):
        return codes.config.INVALID_FILE
    if isinstance(exc, StoreLimited):
        return codes.platform.STORE_LIMITED
    if isinstance(exc, StoreConflict):
        return codes.config.REVISION_CONFLICT
    if isinstance(exc, StoreError):
        return codes.platform.STORE_DOWN
    return None


def describe(exc: BaseException, code: Code) -> str:
    """Return the text of an error: code, detail and what to do."""
    if isinstance(exc, Refusal):
        return f"{exc}\n{code.action}"
    return f"{code.number} {code.name}: {code.meaning}\n{exc}\n{code.action}"


def asynchronous(
    command: t.Callable[..., t.Coroutine[t.Any, t.Any, _T]],
) -> t.Callable[..., _T]:
    """Run a coroutine as a command; on a numbered error, exit with its status."""

    @functools.wraps(command)
    def run(*args: t.Any, **kwargs: t.Any) -> _T:
        try:
            return uvloop.run(command(*args, **kwargs))
        except (Refusal, SettingsError, StoreError) as exc:
            fail(exc)

    return run


def fail(exc: BaseException) -> t.NoReturn:
    """Print an error and exit with the status of its code; re-raise other errors."""
    code = code_of(exc)
    if code is None:
        raise exc
    click.echo(describe(exc, code), err=True)
    sys.exit(exit_status(code))


def table(header: t.Sequence[str], rows: t.Iterable[t.Sequence[t.Any]]) -> str:
    """Return a text table with aligned columns."""
    lines = [tuple(header), *(tuple(map(_format_cell, row)) for row in rows)]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    return "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True))
        for line in lines
    )


def _format_cell(value: t.Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, bool):
        return "yes" if value else "no"
    return str(value)


async def in_order(
    jobs: t.Sequence[t.Callable[[], t.Awaitable[_T]]], at_once: int
) -> list[_T]:
    """Run up to `at_once` jobs concurrently; return the results in job order."""
    semaphore = asyncio.Semaphore(at_once)

    async def run(job: t.Callable[[], t.Awaitable[_T]]) -> _T:
        async with semaphore:
            return await job()

    return list(await asyncio.gather(*map(run, jobs)))
