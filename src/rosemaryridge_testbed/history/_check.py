"""Find violations of the consistency promises in a history."""

import collections
import typing as t

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Outcome
from rosemaryridge_testbed.history._events import Finding
from rosemaryridge_testbed.history._events import History
from rosemaryridge_testbed.history._events import Promise
from rosemaryridge_testbed.history._events import Read
from rosemaryridge_testbed.history._events import Write

Rule = t.Callable[[History], t.Iterator[Finding]]
_RULES: list[Rule] = []


def _register(rule: Rule) -> Rule:
    _RULES.append(rule)
    return rule


def check(history: History) -> tuple[Finding, ...]:
    """Return every violation of a promise that the history shows."""
    return tuple(finding for rule in _RULES for finding in rule(history))


def _write_finding(promise: Promise, event: Write, detail: str = "") -> Finding:
    return Finding(promise, event.session, event.key, detail)


@_register
def _durable(history: History) -> t.Iterator[Finding]:
    final_keys = {row.key for row in history.final}
    for write in history.writes:
        if write.outcome is Outcome.DONE and write.key not in final_keys:
            yield _write_finding(Promise.DURABLE, write)


@_register
def _once_and_whole(history: History) -> t.Iterator[Finding]:
    counts = collections.Counter(row.key for row in history.final)
    for write in history.writes:
        count = counts[write.key]
        if count > write.rows:
            yield _write_finding(Promise.ONCE, write, f"{count} rows of {write.rows}")
        elif 0 < count < write.rows:
            yield _write_finding(Promise.ATOMIC, write, f"{count} rows of {write.rows}")


@_register
def _whole_in_reads(history: History) -> t.Iterator[Finding]:
    rows = {write.key: write.rows for write in history.writes}
    for read in history.reads:
        for key, count in collections.Counter(row.key for row in read.rows).items():
            if count < rows.get(key, 0):
                yield Finding(Promise.ATOMIC, read.session, key, "in a read")


@_register
def _not_run(history: History) -> t.Iterator[Finding]:
    seen = {row.key for read in history.reads for row in read.rows}
    seen.update(row.key for row in history.final)
    for write in history.writes:
        if write.outcome is Outcome.NOT_RUN and write.key in seen:
            yield _write_finding(Promise.NOT_RUN, write)


@_register
def _own_answer(history: History) -> t.Iterator[Finding]:
    for read in history.reads:
        for row in read.rows:
            if row.session != read.session:
                yield Finding(Promise.OWN_ANSWER, read.session, row.key)


@_register
def _isolated(history: History) -> t.Iterator[Finding]:
    for stray in history.strays:
        yield Finding(Promise.ISOLATED, stray.session, "", stray.sqlstate)


@_register
def _lasting(history: History) -> t.Iterator[Finding]:
    final_keys = {row.key for row in history.final}
    lost = {
        (row.session, row.key)
        for read in history.reads
        for row in read.rows
        if row.key not in final_keys
    }
    for session, key in sorted(lost):
        yield Finding(Promise.LASTING, session, key)


@_register
def _session_order(history: History) -> t.Iterator[Finding]:
    sessions: dict[str, list[Write | Read]] = collections.defaultdict(list)
    for event in (*history.writes, *history.reads):
        sessions[event.session].append(event)
    for events in sessions.values():
        yield from _check_session(events)


def _check_session(events: list[Write | Read]) -> t.Iterator[Finding]:
    reads = [event for event in events if isinstance(event, Read)]
    by_end = sorted(events, key=lambda event: event.ended)
    required: dict[str, Promise] = {}
    index = 0
    for read in sorted(reads, key=lambda read: read.started):
        while index < len(by_end) and by_end[index].ended <= read.started:
            _add_required(required, by_end[index])
            index += 1
        seen = {row.key for row in read.rows}
        for key, promise in required.items():
            if key not in seen:
                yield Finding(promise, read.session, key, f"read at {read.started:.3f}")


def _add_required(required: dict[str, Promise], event: Write | Read) -> None:
    if isinstance(event, Read):
        if not event.binds_later_reads:
            return
        for row in event.rows:
            required.setdefault(row.key, Promise.MONOTONIC)
    elif event.outcome is Outcome.DONE:
        required[event.key] = Promise.OWN_WRITES


@_register
def _current_term(history: History) -> t.Iterator[Finding]:
    for write in history.writes:
        if write.outcome is not Outcome.DONE or write.position == ORIGIN:
            continue
        for promotion in history.promotions:
            if promotion.at < write.started and write.position.term < promotion.term:
                detail = f"{write.position} after term {promotion.term}"
                yield _write_finding(Promise.CURRENT_TERM, write, detail)
                break
