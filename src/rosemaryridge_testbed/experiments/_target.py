"""Model a target that implements the target port's verbs."""

import dataclasses

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus
from rosemaryridge_testbed.experiments._network import Network

_HEARTBEAT_PERIOD_S = 0.05


class Refused(Exception):
    """Report a verb refused because of the target's fenced term."""


@dataclasses.dataclass(frozen=True, slots=True)
class Entry:
    """Record one committed write or a promotion."""

    term: int
    value: str


class ModelTarget:
    """Hold a target's log, role and fence, and stream the log to its replicas."""

    def __init__(self, name: str, network: Network, targets: dict[str, "ModelTarget"]):
        self.name = name
        self.role = Role.REPLICA
        self.term = 1
        self.fenced_term = 1
        self.candidate = ""
        self.upstream = ""
        self.leaving = False
        self.log: list[Entry] = []
        self._network = network
        self._targets = targets
        self._last_heard_at = 0.0
        self._heartbeat()

    @property
    def received(self) -> Position:
        """Return the position of the last entry."""
        return Position(self.log[-1].term, len(self.log)) if self.log else ORIGIN

    @property
    def writable(self) -> bool:
        """Return whether the target accepts writes."""
        return self.role is Role.PRIMARY and self.fenced_term <= self.term

    def status(self) -> TargetStatus:
        """Return the result of the status verb."""
        silence_s = self._network.timer.now() - self._last_heard_at
        if self.role is Role.PRIMARY:
            silence_s = 0.0
        return TargetStatus(
            self.name,
            self.role,
            self.term,
            self.fenced_term,
            self.received,
            self.received,
            self.upstream,
            silence_s,
            self.leaving,
            self.writable,
        )

    def fence(self, term: int, candidate: str) -> TargetStatus:
        """Fence the target for a candidate; raise Refused."""
        repeated = (term, candidate) == (self.fenced_term, self.candidate)
        if term <= self.fenced_term and not repeated:
            raise Refused
        self.fenced_term, self.candidate = term, candidate
        return self.status()

    def promote(self, term: int, candidate: str) -> TargetStatus:
        """Become primary of a term; raise Refused."""
        if (term, candidate) != (self.fenced_term, self.candidate):
            raise Refused
        if (self.role, self.term) != (Role.PRIMARY, term):
            self.role, self.term, self.upstream = Role.PRIMARY, term, ""
            self.log.append(Entry(term, f"promotion {term}"))
        return self.status()

    def follow(self, term: int, primary: str) -> TargetStatus:
        """Follow a term's primary; raise Refused."""
        is_primary = self.role is Role.PRIMARY and self.term == term
        if term < self.fenced_term or is_primary:
            raise Refused
        if (self.role, self.term, self.upstream) != (Role.REPLICA, term, primary):
            self.role, self.term, self.upstream = Role.REPLICA, term, primary
            self.fenced_term = term
            self._last_heard_at = self._network.timer.now()
        return self.status()

    def commit(self, value: str) -> Position:
        """Append a write and stream it; raise Refused if not writable."""
        if not self.writable:
            raise Refused
        self.log.append(Entry(self.term, value))
        self._stream()
        return self.received

    def _heartbeat(self) -> None:
        self._network.timer.after(_HEARTBEAT_PERIOD_S, self._heartbeat)
        if self._network.is_up(self.name):
            self._stream()

    def _stream(self) -> None:
        if not self.writable:
            return
        entries, term = tuple(self.log), self.term
        for other in self._targets.values():
            if other is not self:
                self._send_log(other, term, entries)

    def _send_log(
        self, other: "ModelTarget", term: int, entries: tuple[Entry, ...]
    ) -> None:
        self._network.send(
            self.name, other.name, lambda: other.receive(self.name, term, entries)
        )

    def receive(self, source: str, term: int, entries: tuple[Entry, ...]) -> None:
        """Adopt the upstream's log, unless this log already starts with it."""
        following = (Role.REPLICA, term, source)
        if (self.role, self.term, self.upstream) != following:
            return
        if self.fenced_term > term:
            return
        self._last_heard_at = self._network.timer.now()
        if list(entries) != self.log[: len(entries)]:
            self.log = list(entries)
