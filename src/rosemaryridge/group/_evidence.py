"""Decide from the observed evidence whether a group's primary must be replaced."""

import dataclasses

from rosemaryridge.config import GroupSettings
from rosemaryridge.group._events import Cause
from rosemaryridge.group._events import PeerReportedSilence
from rosemaryridge.group._view import GroupView
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus

_MIN_FAILURES = 2
_MIN_REPORTERS = 2
# A target is detached from the primary if it has promised a higher term than its own,
# is in a lower term than the view, or is a replica that has not heard from its
# upstream for this fraction of `suspicion_s`.
_DETACHED_FRACTION = 0.75
_CATCH_UP_TIMEOUT_S = 2.0


@dataclasses.dataclass(slots=True)
class _Unresponsiveness:
    since: float
    failures: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _PeerReport:
    primary: str
    term: int
    at: float


class Evidence:
    """Collect evidence against the primary and decide whether to replace it.

    The evidence is this proxy's own status requests, the replicas' replication
    state and the reports of the other watchers.
    """

    def __init__(self, cfg: GroupSettings, view: GroupView, skip_fencing: bool = False):
        self._skip_fencing = skip_fencing
        self.watcher_count = 1
        self._cfg = cfg
        self._detached_s = cfg.suspicion_s * _DETACHED_FRACTION
        self._view = view
        self._unresponsive: dict[str, _Unresponsiveness] = {}
        self._reports: dict[str, _PeerReport] = {}
        self._condition_since: dict[Cause, float] = {}
        self._term = 0

    def record_answer(self, target: str) -> None:
        """Record that a target answered a status request."""
        self._unresponsive.pop(target, None)

    def record_failure(self, target: str, sent_at: float) -> None:
        """Record that a target left a status request sent at `sent_at` unanswered."""
        state = self._unresponsive.setdefault(target, _Unresponsiveness(sent_at))
        state.failures += 1

    def record_report(self, report: PeerReportedSilence, now: float) -> None:
        """Record another watcher's report that the primary is unresponsive.

        A `silence_s` below `suspicion_s`, such as 0.0, withdraws that watcher's earlier
        report.
        """
        self._reports.pop(report.vm, None)
        if report.silence_s >= self._cfg.suspicion_s:
            self._reports[report.vm] = _PeerReport(report.primary, report.term, now)

    def reset(self) -> None:
        """Discard all evidence, for use after a pause of this process.

        Answers that arrived during the pause were not read, so the targets were not
        necessarily unresponsive.
        """
        self._unresponsive.clear()
        self._reports.clear()
        self._condition_since.clear()

    def is_unresponsive(self, target: str) -> bool:
        """Return whether a target's last status request failed."""
        return target in self._unresponsive

    def silence_s(self, target: str, now: float, failures: int = 1) -> float:
        """Return for how many seconds a target has been unresponsive.

        Return 0.0 if fewer than `failures` requests in a row failed. The time starts
        when the first of them was sent.
        """
        state = self._unresponsive.get(target)
        if state is None or state.failures < failures:
            return 0.0
        return now - state.since

    def takeover_cause(self, now: float, min_without_primary_s: float) -> Cause | None:
        """Return why a takeover must start now, or None.

        `min_without_primary_s` is how long the group must have been without a primary
        for the cause NO_PRIMARY; this gives another candidate time to complete its
        takeover.
        """
        if self._term != self._view.term:
            self._term = self._view.term
            self._condition_since.clear()
        if not self.has_quorum(now) and not self._skip_fencing:
            return None
        return self._cause_without_primary(
            now, min_without_primary_s
        ) or self._cause_against_primary(now)

    def has_quorum(self, now: float) -> bool:
        """Return whether a majority of the targets answers this proxy directly."""
        names = [name for name in self._view.targets if self._is_fresh(name, now)]
        return len(names) >= self._view.majority_size

    def voters(self, cause: Cause) -> tuple[str, ...]:
        """Return the targets to fence.

        The failed primary or the draining targets are excluded if the others still form
        a majority.
        """
        excluded = set()
        if cause in (Cause.UNRESPONSIVE, Cause.UNREACHABLE, Cause.ISOLATED):
            excluded = {self._view.primary}
        if cause is Cause.DRAINING:
            excluded = {name for name in self._view.targets if self._is_draining(name)}
        others = tuple(name for name in self._view.targets if name not in excluded)
        return others if len(others) >= self._view.majority_size else self._view.targets

    def _cause_without_primary(
        self, now: float, min_without_primary_s: float
    ) -> Cause | None:
        without_primary = self._view.primary is None and self._majority_detached(now)
        if not without_primary:
            self._condition_since.pop(Cause.NO_PRIMARY, None)
            return None
        duration_s = self._update_condition(Cause.NO_PRIMARY, True, now)
        return Cause.NO_PRIMARY if duration_s >= min_without_primary_s else None

    def _cause_against_primary(self, now: float) -> Cause | None:
        primary = self._view.primary
        if primary is None:
            return None
        detached = self._majority_detached(now)
        isolated_s = self._update_condition(Cause.ISOLATED, detached, now)
        silence_s = self.silence_s(primary, now)
        if silence_s >= self._cfg.suspicion_s and detached:
            return Cause.UNRESPONSIVE
        if silence_s > 0.0:
            return Cause.UNREACHABLE if self._majority_suspects(primary, now) else None
        if isolated_s >= self._cfg.isolation_s:
            return Cause.ISOLATED
        return self._planned_cause(primary, now)

    def _planned_cause(self, primary: str, now: float) -> Cause | None:
        draining = self._is_draining(primary)
        draining_s = self._update_condition(Cause.DRAINING, draining, now)
        if draining and self._can_hand_over(primary, draining_s):
            return Cause.DRAINING
        fenced_above = any(
            self._is_fresh(name, now) and entry.status.fenced_term > self._view.term
            for name, entry in self._view.statuses.items()
        )
        fenced_above_s = self._update_condition(Cause.REPAIR, fenced_above, now)
        return Cause.REPAIR if fenced_above_s >= self._cfg.repair_s else None

    def _update_condition(self, cause: Cause, holds: bool, now: float) -> float:
        """Return for how many seconds a condition has held, -1.0 if it does not."""
        if not holds:
            self._condition_since.pop(cause, None)
            return -1.0
        return now - self._condition_since.setdefault(cause, now)

    def _majority_suspects(self, primary: str, now: float) -> bool:
        view = self._view
        if self.silence_s(primary, now, _MIN_FAILURES) < self._cfg.suspicion_s:
            return False
        ttl_s = self._cfg.report_ttl_s
        agreeing = sum(
            (report.primary, report.term) == (view.primary, view.term)
            and now - report.at <= ttl_s
            for report in self._reports.values()
        )
        needed = max(_MIN_REPORTERS, self.watcher_count // 2 + 1)
        return 1 + agreeing >= needed

    def _majority_detached(self, now: float) -> bool:
        names = [
            name
            for name, entry in self._view.statuses.items()
            if name != self._view.primary
            and self._is_fresh(name, now)
            and self._is_detached(entry.status)
        ]
        return len(names) >= self._view.majority_size

    def _is_detached(self, status: TargetStatus) -> bool:
        if status.fenced_term > status.term or status.term < self._view.term:
            return True
        replica = status.role is Role.REPLICA
        return replica and status.upstream_silence_s >= self._detached_s

    def _is_fresh(self, name: str, now: float) -> bool:
        entry = self._view.statuses.get(name)
        if entry is None or not entry.direct or self.is_unresponsive(name):
            return False
        return now - entry.seen_at <= self._cfg.report_ttl_s

    def _is_draining(self, name: str) -> bool:
        entry = self._view.statuses.get(name)
        return entry is not None and entry.status.leaving

    def _can_hand_over(self, primary: str, draining_s: float) -> bool:
        statuses = self._view.statuses
        remaining = [
            statuses[name].status
            for name in self._view.targets
            if name in statuses
            and not self._is_draining(name)
            and self._view.is_in_term(name)
        ]
        if len(remaining) < self._view.majority_size:
            return False
        position = statuses[primary].status.received
        caught_up = any(status.received >= position for status in remaining)
        return caught_up or draining_s >= _CATCH_UP_TIMEOUT_S
