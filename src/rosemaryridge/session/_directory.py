"""Record and look up sessions at their holders."""

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
from rosemaryridge.session._table import READ_MARK_S
from rosemaryridge.session._table import Found
from rosemaryridge.session._table import Holders
from rosemaryridge.session._table import Key
from rosemaryridge.session._table import SessionTable
from rosemaryridge.timer import Subscription
from rosemaryridge.timer import TimerService

_HOLDERS = 3
_ASK_TIMEOUT_S = 0.3
_RETRY_S = 0.05
_SWEEP_PERIOD_S = 5.0
_LIMIT = 100_000
_MARK_LIMIT = 100_000
_HAND_OVER_BATCH = 200
_HAND_OVER_AGAIN_S = 1.5
_DEADLINE_S = 5.0


class Members(t.Protocol):
    """Place keys on proxies."""

    def holders(self, key: str, n: int) -> tuple[str, ...]:
        """Return the VMs that hold a key."""

    def on_change(self, callback: t.Callable[[], None]) -> None:
        """Call back after the members changed."""


class Groups(t.Protocol):
    """Know each group's targets and sample its primary's position."""

    def view(self, service: str) -> GroupView:
        """Return what is known of a service's group."""

    async def acknowledge(
        self, service: str, target: str, term: int, deadline: float
    ) -> Position:
        """Return the primary's position now, once a majority holds it."""


class SessionDirectory:
    """Spread named sessions over the proxies; a majority of holders keeps each."""

    def __init__(
        self,
        timer: TimerService,
        bus: PeerBus,
        members: Members,
        groups: Groups,
        vm: str,
        limit: int = _LIMIT,
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
        bus.on_ask(SessionPut, lambda _vm, message: self._keep(message.record))
        bus.on_ask(SessionGet, lambda _vm, message: self._find(message))
        bus.on_message(SessionHandOver, self._take_over)
        members.on_change(self._members_changed)

    @property
    def held(self) -> int:
        """Return how many sessions this proxy answers for."""
        return len(self._table)

    async def start(self) -> None:
        """Begin to drop what every target covers."""
        self._sweeper = self._timer.every(_SWEEP_PERIOD_S, self._sweep)

    async def stop(self) -> None:
        """Stop sampling and dropping."""
        if self._sweeper is not None:
            self._sweeper.cancel()
        for task in self._sampling.values():
            task.cancel()

    async def required(
        self, service: str, session: str, view: GroupView
    ) -> Position | None:
        """Return the position to cover; None where only the primary will do."""
        found = await self.find(service, session)
        if found is None or found.replica:
            return None
        return found.position

    async def find(self, service: str, session: str) -> Found | None:
        """Return what a session must see; None where only the primary will do."""
        key = (service, session)
        holders = self._holders(key)
        message = SessionGet(service, session)
        answers = await self._ask_all(
            holders, message, lambda answer: answer.record is not None
        )
        if len(answers) <= len(holders) // 2:
            return None
        records = [t.cast(SessionFound, answer).record for answer in answers]
        newest = max(records, key=lambda one: (one.term, one.lsn))
        replicas = {one.replica for one in records if one.replica}
        if len(replicas) > 1:
            return None
        replica = replicas.pop() if replicas else ""
        if self._marks.get(key, (replica, 0.0))[0] != replica:
            # Another proxy has read from elsewhere since.
            del self._marks[key]
        return Found(Position(newest.term, newest.lsn), replica)

    async def record(
        self,
        service: str,
        session: str,
        position: Position,
        deadline: float | None = None,
    ) -> None:
        """Return once a majority of holders keeps a position; raise Refusal.

        To be awaited before the answer that the position stands for is given.
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
        """Return once holders know which replica a session reads from now on.

        To be awaited before the read is sent; it asks nobody while the last mark
        for the same replica is young.
        """
        key, now = (service, session), self._timer.now()
        marked, until = self._marks.get(key, ("", 0.0))
        if marked == replica and now < until:
            return
        record = SessionRecord(service, session, *_pair(position), replica)
        await self._put(record, deadline)
        if len(self._marks) >= _MARK_LIMIT:
            self._marks.clear()
        self._marks[key] = (replica, now + READ_MARK_S / 2.0)

    def _holders(self, key: Key) -> Holders:
        return self._members.holders(f"session/{key[0]}/{key[1]}", _HOLDERS)

    async def _put(self, record: SessionRecord, deadline: float | None) -> None:
        if deadline is None:
            deadline = self._timer.now() + _DEADLINE_S
        while self._timer.now() < deadline:
            holders = self._holders((record.service, record.session))
            kept = await self._ask_all(
                holders, SessionPut(record), lambda answer: answer.kept
            )
            if len(kept) > len(holders) // 2:
                return
            await asyncio.sleep(_RETRY_S)
        raise Refusal(codes.SESSION_NOT_RECORDED)

    async def _ask_all(
        self, holders: Holders, message: t.Any, counts: t.Callable[[t.Any], bool]
    ) -> list[t.Any]:
        """Return the answers that count, as soon as a majority gave one."""
        asks = {asyncio.ensure_future(self._ask(vm, message)) for vm in holders}
        found: list[t.Any] = []
        while asks and len(found) <= len(holders) // 2:
            done, asks = await asyncio.wait(asks, return_when=asyncio.FIRST_COMPLETED)
            answers = [task.result() for task in done]
            found += [one for one in answers if one is not None and counts(one)]
        for task in asks:
            task.add_done_callback(lambda one: one.cancelled() or one.exception())
        return found

    async def _ask(self, vm: str, message: t.Any) -> t.Any:
        if vm == self._vm:
            is_put = isinstance(message, SessionPut)
            return self._keep(message.record) if is_put else self._find(message)
        try:
            return await self._bus.ask(vm, message, _ASK_TIMEOUT_S)
        except PeerUnavailable:
            return None

    def _keep(self, record: SessionRecord) -> SessionKept:
        key = (record.service, record.session)
        self._table.put(key, _unpack(record), self._timer.now())
        return SessionKept(self._vm in self._holders(key))

    def _find(self, message: SessionGet) -> SessionFound:
        key = (message.service, message.session)
        found = self._table.get(key, self._timer.now())
        if found is None:
            self._sample(message.service)
            return SessionFound(None)
        return SessionFound(_pack(key, found))

    def _members_changed(self) -> None:
        batches: dict[str, list[SessionRecord]] = {}
        for key, found, holders in self._table.members_changed(self._timer.now()):
            for vm in holders:
                if vm != self._vm:
                    batches.setdefault(vm, []).append(_pack(key, found))
        self._hand_over(batches)
        # A message is lost with its stream; the second comes within the settling time.
        self._timer.after(_HAND_OVER_AGAIN_S, lambda: self._hand_over(batches))

    def _hand_over(self, batches: dict[str, list[SessionRecord]]) -> None:
        for vm, records in batches.items():
            for start in range(0, len(records), _HAND_OVER_BATCH):
                batch = tuple(records[start : start + _HAND_OVER_BATCH])
                self._bus.send(vm, SessionHandOver(batch))

    def _take_over(self, vm: str, message: SessionHandOver) -> None:
        for record in message.records:
            key = (record.service, record.session)
            self._table.take_over(key, _unpack(record), self._timer.now())

    def _sample(self, service: str) -> None:
        if service in self._sampling or self._table.floor(service) is not None:
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
        deadline = asked_at + _DEADLINE_S
        try:
            position = await self._groups.acknowledge(
                service, view.primary, view.term, deadline
            )
        except Refusal:
            return
        self._table.sampled(service, position, asked_at)

    def _sweep(self) -> None:
        for service in self._table.services():
            try:
                view = self._groups.view(service)
            except KeyError:
                continue
            self._table.sweep(service, view, self._timer.now())


def _pair(position: Position) -> tuple[int, int]:
    return (position.term, position.lsn)


def _pack(key: Key, found: Found) -> SessionRecord:
    return SessionRecord(*key, *_pair(found.position), found.replica)


def _unpack(record: SessionRecord) -> Found:
    return Found(Position(record.term, record.lsn), record.replica)
