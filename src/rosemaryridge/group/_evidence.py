"""Weigh what is known against a group's primary."""

import dataclasses

from rosemaryridge.config import GroupSettings
from rosemaryridge.group._events import Cause
from rosemaryridge.group._events import PeerReported
from rosemaryridge.group._view import GroupView
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus

_LEAST_FAILURES = 2
_LEAST_REPORTERS = 2
_DETACHED_SHARE = 0.75
_PATIENCE_LEAVING_S = 2.0


@dataclasses.dataclass(slots=True)
class _Silence:
    since: float
    failures: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class _Report:
    primary: str
    term: int
    at: float


class Evidence:
    """Hold each path's evidence and judge whether the primary must be replaced."""

    def __init__(self, cfg: GroupSettings, view: GroupView, skip_quorum: bool = False):
        self._skip_quorum = skip_quorum
        self.watchers = 1
        self._cfg = cfg
        self._detached_s = cfg.suspicion_s * _DETACHED_SHARE
        self._view = view
        self._silences: dict[str, _Silence] = {}
        self._reports: dict[str, _Report] = {}
        self._since: dict[Cause, float] = {}
        self._term = 0

    def answered(self, target: str) -> None:
        """Take in that a target answered."""
        self._silences.pop(target, None)

    def failed(self, target: str, sent_at: float) -> None:
        """Take in that a target did not answer."""
        silence = self._silences.setdefault(target, _Silence(sent_at))
        silence.failures += 1

    def reported(self, report: PeerReported, now: float) -> None:
        """Take in another watcher's report; a short silence withdraws it."""
        self._reports.pop(report.vm, None)
        if report.silence_s >= self._cfg.suspicion_s:
            self._reports[report.vm] = _Report(report.primary, report.term, now)

    def reset(self) -> None:
        """Forget everything, after a pause in which answers went unread."""
        self._silences.clear()
        self._reports.clear()
        self._since.clear()

    def doubted(self, target: str) -> bool:
        """Return whether a target's last status request failed."""
        return target in self._silences

    def silence_s(self, target: str, now: float, failures: int = 1) -> float:
        """Return how long a target has left at least so many requests unanswered."""
        silence = self._silences.get(target)
        if silence is None or silence.failures < failures:
            return 0.0
        return now - silence.since

    def cause(self, now: float, patience_s: float) -> Cause | None:
        """Return why the primary must be replaced now, None where it must not.

        `patience_s` is the time that other candidates are given where none leads.
        """
        if self._term != self._view.term:
            self._term = self._view.term
            self._since.clear()
        if not self.has_quorum(now) and not self._skip_quorum:
            return None
        return self._against_none(now, patience_s) or self._against_primary(now)

    def has_quorum(self, now: float) -> bool:
        """Return whether a majority of the targets answers this proxy."""
        names = [name for name in self._view.targets if self._is_fresh(name, now)]
        return len(names) >= self._view.majority

    def voters(self, cause: Cause) -> tuple[str, ...]:
        """Return the targets to fence: without those to be replaced, if possible."""
        unwanted = set()
        if cause in (Cause.SILENT, Cause.UNREACHABLE, Cause.ISOLATED):
            unwanted = {self._view.primary}
        if cause is Cause.LEAVING:
            unwanted = {name for name in self._view.targets if self._is_leaving(name)}
        others = tuple(name for name in self._view.targets if name not in unwanted)
        return others if len(others) >= self._view.majority else self._view.targets

    def _against_none(self, now: float, patience_s: float) -> Cause | None:
        orphaned = self._view.primary is None and self._detached(now)
        if not orphaned:
            self._since.pop(Cause.ORPHANED, None)
            return None
        lasted_s = self._lasted(Cause.ORPHANED, True, now)
        return Cause.ORPHANED if lasted_s >= patience_s else None

    def _against_primary(self, now: float) -> Cause | None:
        primary = self._view.primary
        if primary is None:
            return None
        detached = self._detached(now)
        isolated_s = self._lasted(Cause.ISOLATED, detached, now)
        silence_s = self.silence_s(primary, now)
        if silence_s >= self._cfg.suspicion_s and detached:
            return Cause.SILENT
        if silence_s > 0.0:
            return Cause.UNREACHABLE if self._many_reports(primary, now) else None
        if isolated_s >= self._cfg.isolation_s:
            return Cause.ISOLATED
        return self._against_form(primary, now)

    def _against_form(self, primary: str, now: float) -> Cause | None:
        leaving = self._is_leaving(primary)
        leaving_s = self._lasted(Cause.LEAVING, leaving, now)
        if leaving and self._can_hand_over(primary, leaving_s):
            return Cause.LEAVING
        stray = any(
            self._is_fresh(name, now) and entry.status.fenced_term > self._view.term
            for name, entry in self._view.statuses.items()
        )
        stray_s = self._lasted(Cause.REPAIR, stray, now)
        return Cause.REPAIR if stray_s >= self._cfg.repair_s else None

    def _lasted(self, cause: Cause, holds: bool, now: float) -> float:
        if not holds:
            self._since.pop(cause, None)
            return -1.0
        return now - self._since.setdefault(cause, now)

    def _many_reports(self, primary: str, now: float) -> bool:
        view = self._view
        if self.silence_s(primary, now, _LEAST_FAILURES) < self._cfg.suspicion_s:
            return False
        ttl_s = self._cfg.report_ttl_s
        agreeing = sum(
            (report.primary, report.term) == (view.primary, view.term)
            and now - report.at <= ttl_s
            for report in self._reports.values()
        )
        needed = max(_LEAST_REPORTERS, self.watchers // 2 + 1)
        return 1 + agreeing >= needed

    def _detached(self, now: float) -> bool:
        names = [
            name
            for name, entry in self._view.statuses.items()
            if name != self._view.primary
            and self._is_fresh(name, now)
            and self._is_detached(entry.status)
        ]
        return len(names) >= self._view.majority

    def _is_detached(self, status: TargetStatus) -> bool:
        if status.fenced_term > status.term or status.term < self._view.term:
            return True
        replica = status.role is Role.REPLICA
        return replica and status.upstream_silence_s >= self._detached_s

    def _is_fresh(self, name: str, now: float) -> bool:
        entry = self._view.statuses.get(name)
        if entry is None or not entry.direct or self.doubted(name):
            return False
        return now - entry.seen_at <= self._cfg.report_ttl_s

    def _is_leaving(self, name: str) -> bool:
        entry = self._view.statuses.get(name)
        return entry is not None and entry.status.leaving

    def _can_hand_over(self, primary: str, leaving_s: float) -> bool:
        statuses = self._view.statuses
        stays = [
            statuses[name].status
            for name in self._view.targets
            if name in statuses
            and not self._is_leaving(name)
            and self._view.follows(name)
        ]
        if len(stays) < self._view.majority:
            return False
        position = statuses[primary].status.received
        caught_up = any(status.received >= position for status in stays)
        return caught_up or leaving_s >= _PATIENCE_LEAVING_S
