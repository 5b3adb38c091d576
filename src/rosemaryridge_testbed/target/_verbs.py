"""Run the target port's verbs."""

import typing as t

from pg_mimic import PgError
from pg_mimic import ResultColumn
from pg_mimic import types as oids

from rosemaryridge_testbed.target._member import Member

STATUS_COLUMNS = (
    ResultColumn("name", oids.TEXT),
    ResultColumn("role", oids.TEXT),
    ResultColumn("term", oids.INT8),
    ResultColumn("fenced_term", oids.INT8),
    ResultColumn("received", oids.TEXT),
    ResultColumn("applied", oids.TEXT),
    ResultColumn("upstream", oids.TEXT),
    ResultColumn("upstream_silence_ms", oids.FLOAT8),
    ResultColumn("leaving", oids.BOOL),
    ResultColumn("writable", oids.BOOL),
)

Verb = t.Callable[[Member, t.Sequence[t.Any]], None]
_VERBS: dict[str, Verb] = {}


def _verb(name: str) -> t.Callable[[Verb], Verb]:
    def register(verb: Verb) -> Verb:
        _VERBS[name] = verb
        return verb

    return register


def run_verb(member: Member, name: str, args: t.Sequence[t.Any]) -> tuple:
    """Run one verb and return the target's status; raise PgError."""
    verb = _VERBS.get(name)
    if verb is None:
        raise PgError("42883", f"function rosemaryridge.{name} does not exist")
    verb(member, args)
    return _status_row(member)


@_verb("status")
def _status(_member: Member, _args: t.Sequence[t.Any]) -> None:
    return


@_verb("fence")
def _fence(member: Member, args: t.Sequence[t.Any]) -> None:
    member.fence(int(args[0]), str(args[1]))


@_verb("promote")
def _promote(member: Member, args: t.Sequence[t.Any]) -> None:
    member.promote(int(args[0]), str(args[1]))


@_verb("follow")
def _follow(member: Member, args: t.Sequence[t.Any]) -> None:
    member.follow(int(args[0]), str(args[1]))


def _status_row(member: Member) -> tuple:
    promise = member.promise
    return (
        member.name,
        promise.role.value,
        promise.term,
        promise.fenced_term,
        str(member.log.last),
        str(member.applied),
        promise.upstream,
        member.upstream_silence_ms,
        member.knobs.leaving,
        member.writable,
    )
