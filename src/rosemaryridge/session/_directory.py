"""Store and look up sessions at their holders."""

import asyncio
import typing as t

from rosemaryridge.codes import group as codes
from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.exceptions import Refusal
from rosemaryridge.group import GroupView
from rosemaryridge.model import Position
from rosemaryridge.peer import PeerBus
from rosemaryridge.session._messages import SessionFound
from rosemaryridge.session._messages import SessionGet
from rosemaryridge.session._messages import SessionHandOver
from rosemaryridge.session._messages import SessionKept
from rosemaryridge.session._messages import SessionPut
from rosemaryridge.session._messages import SessionRecord
from rosemaryridge.session._table import READ_MARK_TTL_S
from rosemaryridge.session._table import Holders
from rosemaryridge.session._table import Key
from rosemaryridge.session._table import ReadBound
from rosemaryridge.session._table import SessionTable
from rosemaryridge.timer import Subscription
from rosemaryridge.timer import TimerService

_HOLDER_COUNT = 3
_ASK_TIMEOUT_S = 0.3
_RETRY_DELAY_S = 0.05
_SWEEP_PERIOD_S = 5.0
_SESSION_LIMIT = 100_000
_MARK_LIMIT = 100_000
_HAND_OVER_BATCH = 200
_HAND_OVER_REPEAT_S = 1.5
_DEFAULT_DEADLINE_S = 5.0


class Members(t.Protocol):
    """Place keys on proxies."""

    def holders(self, key: str, n: int) -> tuple[str, ...]:
        """Return the VMs of the `n` proxies that hold a key."""

    def on_change(self, callback: t.Callable[[], None]) -> None:
        """Call back after the members change."""


class Groups(t.Protocol):
    """Provide the state of groups and the positions of their primaries."""

    def view(self, service: str) -> GroupView:
        """Return the view of a service's group; raise KeyError if unknown."""

    async def acknowledge(
        self, service: str, target: str, term: int, deadline: float
    ) -> Position:
        """Return the primary's position once a majority has it; raise Refusal."""


class SessionDirectory:
    """Store named sessions on the proxies, each at a majority of its holders."""

    def __init__(
        self,
        timer: TimerService,
        bus: PeerBus,
        members: Members,
        groups: Groups,
        vm: str,
        limit: int = _SESSION_LIMIT,
    ):
        self._timer = timer
        self._bus = bus
        self._members = members
        self._groups = groups
        self._vm = vm
        self._table = SessionTable(timer.now(), self._holders, limit)
        self._marks: dict[Key, tuple[str, float]] = {}
        self._sampling: dict[str, asyncio.Task] = {}
        self._sweeper: Subscription | None = None
        bus.on_ask(SessionPut, lambda _vm, message: self._on_put(message.record))
        bus.on_ask(SessionGet, lambda _vm, message: self._on_get(message))
        bus.on_message(SessionHandOver, self._on_hand_over)
        members.on_change(self._on_members_changed)

    @property
    def held(self) -> int:
        """Return the number of sessions that this proxy stores."""
        return len(self._table)

    async def start(self) -> None:
        """Start to drop sessions whose position every target has applied."""
        self._sweeper = self._timer.every(_SWEEP_PERIOD_S, self._sweep)

    async def stop(self) -> None:
        """Stop dropping sessions and cancel running samples."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for task in self._sampling.values():
            task.cancel()

    async def required(
        self, service: str, session: str, view: GroupView
    ) -> Position | None:
        """Return the minimum position of reads, None if they must use the primary."""
        bound = await self.find(service, session)
        if bound is None or bound.replica:
            return None
        return bound.position

    async def find(self, service: str, session: str) -> ReadBound | None:
        """Return the bound of a session's reads, None if they must use the primary."""
        key = (service, session)
        holders = self._holders(key)
        message = SessionGet(service, session)
        answers = await self._ask_majority(
            holders, message, lambda answer: answer.record is not None
        )
        if len(answers) <= len(holders) // 2:
            return None
        records = [t.cast(SessionFound, answer).record for answer in answers]
        newest = max(records, key=lambda record: (record.term, record.lsn))
        replicas = {record.replica for record in records if record.replica}
        if len(replicas) > 1:
            return None
        replica = replicas.pop() if replicas else ""
        if self._marks.get(key, (replica, 0.0))[0] != replica:
            # Another proxy has since read from another replica.
            del self._marks[key]
        return ReadBound(Position(newest.term, newest.lsn), replica)

    async def record(
        self,
        service: str,
        session: str,
        position: Position,
        deadline: float | None = None,
    ) -> None:
        """Store a session's position at a majority of holders; raise Refusal.

        Await this before the caller gets the answer that was read or written at the
        position. `deadline` is a time of the timer.
        """
        await self._put(SessionRecord(service, session, *_pair(position)), deadline)

    async def mark(
        self,
        service: str,
        session: str,
        position: Position,
        replica: str,
        deadline: float | None = None,
    ) -> None:
        """Mark the replica from which a session reads from now on; raise Refusal.

        Await this before the read is sent. The holders are asked again only after
        half the lifetime of the last mark for the same replica.
        """
        key, now = (service, session), self._timer.now()
        marked, valid_until = self._marks.get(key, ("", 0.0))
        if marked == replica and now < valid_until:
            return
        record = SessionRecord(service, session, *_pair(position), replica)
        await self._put(record, deadline)
        if len(self._marks) >= _MARK_LIMIT:
            self._marks.clear()
        self._marks[key] = (replica, now + READ_MARK_TTL_S / 2.0)

    def _holders(self, key: Key) -> Holders:
        return self._members.holders(f"session/{key[0]}/{key[1]}", _HOLDER_COUNT)

    async def _put(self, record: SessionRecord, deadline: float | None) -> None:
        if deadline is None:
            deadline = self._timer.now() + _DEFAULT_DEADLINE_S
        while self._timer.now() < deadline:
            holders = self._holders((record.service, record.session))
            acks = await self._ask_majority(
                holders, SessionPut(record), lambda answer: answer.kept
            )
            if len(acks) > len(holders) // 2:
                return
            await asyncio.sleep(_RETRY_DELAY_S)
        raise Refusal(codes.SESSION_NOT_RECORDED)

    async def _ask_majority(
        self, holders: Holders, message: t.Any, is_valid: t.Callable[[t.Any], bool]
    ) -> list[t.Any]:
        """Return valid answers of a majority; fewer if not enough holders give one."""
        asks = {asyncio.ensure_future(self._ask(vm, message)) for vm in holders}
        valid: list[t.Any] = []
        while asks and len(valid) <= len(holders) // 2:
            done, asks = await asyncio.wait(asks, return_when=asyncio.FIRST_COMPLETED)
            answers = [task.result() for task in done]
            valid += [item for item in answers if item is not None and is_valid(item)]
        for task in asks:
            # Marks the exception as retrieved, so that asyncio does not log it.
            task.add_done_callback(lambda ask: ask.cancelled() or ask.exception())
        return valid

    async def _ask(self, vm: str, message: t.Any) -> t.Any:
        if vm == self._vm:
            is_put = isinstance(message, SessionPut)
            return self._on_put(message.record) if is_put else self._on_get(message)
        try:
            return await self._bus.ask(vm, message, _ASK_TIMEOUT_S)
        except PeerUnavailable:
            return None

    def _on_put(self, record: SessionRecord) -> SessionKept:
        key = (record.service, record.session)
        self._table.put(key, _from_record(record), self._timer.now())
        return SessionKept(self._vm in self._holders(key))

    def _on_get(self, message: SessionGet) -> SessionFound:
        key = (message.service, message.session)
        bound = self._table.get(key, self._timer.now())
        if bound is None:
            self._start_sample(message.service)
            return SessionFound(None)
        return SessionFound(_to_record(key, bound))

    def _on_members_changed(self) -> None:
        batches: dict[str, list[SessionRecord]] = {}
        for key, bound, holders in self._table.update_holders(self._timer.now()):
            for vm in holders:
                if vm != self._vm:
                    batches.setdefault(vm, []).append(_to_record(key, bound))
        self._hand_over(batches)
        # A broken stream loses messages; the repeat comes within _HAND_OVER_WAIT_S.
        self._timer.after(_HAND_OVER_REPEAT_S, lambda: self._hand_over(batches))

    def _hand_over(self, batches: dict[str, list[SessionRecord]]) -> None:
        for vm, records in batches.items():
            for start in range(0, len(records), _HAND_OVER_BATCH):
                batch = tuple(records[start : start + _HAND_OVER_BATCH])
                self._bus.send(vm, SessionHandOver(batch))

    def _on_hand_over(self, vm: str, message: SessionHandOver) -> None:
        for record in message.records:
            key = (record.service, record.session)
            self._table.put_handed_over(key, _from_record(record), self._timer.now())

    def _start_sample(self, service: str) -> None:
        if service in self._sampling or self._table.min_position(service) is not None:
            return
        task = asyncio.get_running_loop().create_task(self._run_sample(service))
        self._sampling[service] = task
        task.add_done_callback(lambda _task: self._sampling.pop(service, None))

    async def _run_sample(self, service: str) -> None:
        await asyncio.sleep(max(0.0, self._table.sample_from() - self._timer.now()))
        try:
            view = self._groups.view(service)
        except KeyError:
            return
        if view.primary is None:
            return
        asked_at = self._timer.now()
        deadline = asked_at + _DEFAULT_DEADLINE_S
        try:
            position = await self._groups.acknowledge(
                service, view.primary, view.term, deadline
            )
        except Refusal:
            return
        self._table.record_sample(service, position, asked_at)

    def _sweep(self) -> None:
        for service in self._table.services():
            try:
                view = self._groups.view(service)
            except KeyError:
                continue
            self._table.sweep(service, view, self._timer.now())


def _pair(position: Position) -> tuple[int, int]:
    return (position.term, position.lsn)


def _to_record(key: Key, bound: ReadBound) -> SessionRecord:
    return SessionRecord(*key, *_pair(bound.position), bound.replica)


def _from_record(record: SessionRecord) -> ReadBound:
    return ReadBound(Position(record.term, record.lsn), record.replica)
