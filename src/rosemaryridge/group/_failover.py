"""Decide when and how to replace a group's primary."""

import random
import typing as t

from rosemaryridge.config import GroupSettings
from rosemaryridge.group import _events as ev
from rosemaryridge.group._election import Election
from rosemaryridge.group._evidence import Evidence
from rosemaryridge.group._view import GroupView
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus

_FOLLOW_RETRY_S = 0.5

Effects = tuple[ev.Effect, ...]
_Handler = t.Callable[["Failover", t.Any, float], Effects]
_HANDLERS: dict[type, _Handler] = {}


def _handles(kind: type) -> t.Callable[[_Handler], _Handler]:
    def register(handler: _Handler) -> _Handler:
        _HANDLERS[kind] = handler
        return handler

    return register


class Failover:
    """Decide takeovers of one group's primary as one of its watchers.

    Update `view` with a status before passing its event.
    """

    def __init__(
        self,
        cfg: GroupSettings,
        view: GroupView,
        rng: random.Random,
        vm: str,
        skip_fencing: bool = False,
    ):
        self._cfg = cfg
        self._view = view
        self._rng = rng
        self._vm = vm
        self._skip_fencing = skip_fencing
        self._evidence = Evidence(cfg, view, skip_fencing)
        self._rank: int | None = None
        self._election: Election | None = None
        self._highest_seen_term = 0
        self._last_candidate_term = -1
        self._ticked_at: float | None = None
        self._takeover_at: float | None = None
        self._takeover_not_before = float("-inf")
        self._polled_at: dict[str, float] = {}
        self._next_follow_at: dict[str, float] = {}
        self._suspicion_reported = False

    @property
    def candidate_term(self) -> int | None:
        """Return the term that this proxy is a candidate for, or None."""
        return self._election.term if self._election else None

    def on_event(self, event: ev.Event, now: float) -> Effects:
        """Handle an event at monotonic time `now` and return its effects."""
        return _HANDLERS[type(event)](self, event, now)

    @_handles(ev.RankChanged)
    def _on_ranked(self, event: ev.RankChanged, now: float) -> Effects:
        self._rank = event.rank
        self._evidence.watcher_count = event.watcher_count
        return ()

    @_handles(ev.Tick)
    def _on_tick(self, event: ev.Tick, now: float) -> Effects:
        paused = self._ticked_at is not None and now - self._ticked_at > (
            self._cfg.pause_s
        )
        self._ticked_at = now
        if paused:
            self._reset_after_pause()
        if self._rank is None:
            return ()
        return (
            self._poll_due_targets(now)
            + self._report_suspicion(now)
            + self._advance_takeover(now)
        )

    @_handles(ev.StatusReceived)
    def _on_status_received(self, event: ev.StatusReceived, now: float) -> Effects:
        self._evidence.record_answer(event.target)
        self._record_term(event.status.fenced_term, now)
        withdrawal: Effects = ()
        if self._suspicion_reported and event.target == self._view.primary:
            self._suspicion_reported = False
            withdrawal = (ev.ReportSilence(event.target, self._view.term, 0.0),)
        follows = self._follow_if_needed(event.target, event.status, now)
        takeover = (
            self._advance_takeover(now) if self._lacks_responsive_primary() else ()
        )
        return withdrawal + follows + takeover

    @_handles(ev.StatusFailed)
    def _on_status_failed(self, event: ev.StatusFailed, now: float) -> Effects:
        self._evidence.record_failure(event.target, event.sent_at)
        if event.target != self._view.primary or self._rank is None:
            return ()
        self._suspicion_reported = True
        silence_s = max(self._evidence.silence_s(event.target, now), 1e-3)
        report = ev.ReportSilence(event.target, self._view.term, silence_s)
        return (report, *self._poll_due_targets(now), *self._advance_takeover(now))

    @_handles(ev.TargetSuspected)
    def _on_suspected(self, event: ev.TargetSuspected, now: float) -> Effects:
        return tuple(ev.Poll(name) for name in self._view.targets)

    @_handles(ev.PeerReportedSilence)
    def _on_peer_report(self, event: ev.PeerReportedSilence, now: float) -> Effects:
        self._evidence.record_report(event, now)
        if event.silence_s <= 0.0 or self._rank is None:
            return ()
        return (ev.Poll(event.primary),)

    @_handles(ev.PeerBeganTakeover)
    def _on_peer_takeover(self, event: ev.PeerBeganTakeover, now: float) -> Effects:
        self._record_term(event.term, now)
        return ()

    @_handles(ev.FenceEnded)
    def _on_fence_ended(self, event: ev.FenceEnded, now: float) -> Effects:
        self._highest_seen_term = max(self._highest_seen_term, event.refused_term)
        if self._election is None:
            return ()
        return self._election.on_fence_ended(event) + self._advance_takeover(now)

    @_handles(ev.PromoteEnded)
    def _on_promote_ended(self, event: ev.PromoteEnded, now: float) -> Effects:
        if self._election is None:
            return ()
        effects = self._election.on_promote_ended(event)
        if self._election.winner is None:
            return effects + self._advance_takeover(now)
        return effects + self._complete_takeover()

    def _complete_takeover(self) -> Effects:
        term, primary = self._election.term, self._election.winner
        self._election = None
        self._takeover_at = None
        self._view.record_promotion(term, primary)
        others = [name for name in self._view.targets if name != primary]
        follows = tuple(ev.Follow(name, term, primary) for name in others)
        return (ev.AnnouncePromotion(term, primary), *follows)

    def _reset_after_pause(self) -> None:
        # A late tick means that this process was paused.
        self._evidence.reset()
        self._election = None
        self._takeover_at = None

    def _record_term(self, term: int, now: float) -> None:
        is_covered = self._election is not None and self._election.term >= term
        if term > max(self._highest_seen_term, self._view.term) and not is_covered:
            self._postpone_takeover(now, self._cfg.takeover_timeout_s)
        self._highest_seen_term = max(self._highest_seen_term, term)

    def _postpone_takeover(self, now: float, delay_s: float) -> None:
        self._takeover_at = None
        self._takeover_not_before = now + delay_s * self._rng.uniform(1.0, 1.25)

    def _lacks_responsive_primary(self) -> bool:
        primary = self._view.primary
        return primary is None or self._evidence.is_unresponsive(primary)

    def _poll_due_targets(self, now: float) -> Effects:
        cfg = self._cfg
        period_s = (
            cfg.retry_period_s
            if self._lacks_responsive_primary()
            else cfg.poll_period_s
        )
        polls = []
        for name in self._view.targets:
            polled_at = self._polled_at.get(name, float("-inf"))
            if now - polled_at >= period_s:
                jitter_s = period_s * self._cfg.jitter * self._rng.random()
                # Shift the recorded time by the jitter to delay the next poll.
                self._polled_at[name] = now + jitter_s
                polls.append(ev.Poll(name))
        return tuple(polls)

    def _report_suspicion(self, now: float) -> Effects:
        primary = self._view.primary
        if primary is None:
            return ()
        # Two failures, as `_MIN_FAILURES` of `_evidence`.
        silence_s = self._evidence.silence_s(primary, now, 2)
        excess_s = silence_s - self._cfg.suspicion_s
        # Report within one retry period only; each further failed poll reports in
        # `_on_status_failed`.
        if not 0.0 <= excess_s < self._cfg.retry_period_s:
            return ()
        self._suspicion_reported = True
        return (ev.ReportSilence(primary, self._view.term, silence_s),)

    def _advance_takeover(self, now: float) -> Effects:
        if self._election is not None:
            return self._check_election(now)
        min_without_primary_s = self._cfg.takeover_timeout_s
        if self._last_candidate_term >= max(
            self._view.highest_term, self._highest_seen_term
        ):
            # The highest term is this proxy's own: no other candidate to wait for.
            min_without_primary_s = 0.0
        cause = self._evidence.takeover_cause(now, min_without_primary_s)
        if cause is None:
            self._takeover_at = None
            return ()
        if self._rank is None or now < self._takeover_not_before:
            return ()
        if self._takeover_at is None:
            wait_steps = self._rank + self._rng.uniform(0.0, 0.5)
            self._takeover_at = now + wait_steps * self._cfg.takeover_step_s
        return self._begin_takeover(cause, now) if now >= self._takeover_at else ()

    def _check_election(self, now: float) -> Effects:
        election = self._election
        timed_out = now - election.started_at >= self._cfg.takeover_timeout_s
        if not timed_out and not election.lost:
            return ()
        self._election = None
        self._postpone_takeover(now, self._rng.random() * self._cfg.takeover_step_s)
        return (ev.LogFailedTakeover(election.term),)

    def _begin_takeover(self, cause: ev.Cause, now: float) -> Effects:
        view = self._view
        term = max(view.highest_term, view.term, self._highest_seen_term) + 1
        voters = self._evidence.voters(cause)
        majority = view.majority_size
        if self._skip_fencing:
            voters = (max(voters, key=self._received_position),)
            majority = 1
        self._last_candidate_term = self._highest_seen_term = term
        self._takeover_at = None
        candidate = f"{self._vm}.{self._rng.getrandbits(32):08x}"
        self._election = Election(term, candidate, voters, majority, view.primary, now)
        return (ev.AnnounceTakeover(term, cause), *self._election.begin())

    def _received_position(self, name: str) -> tuple[int, int]:
        entry = self._view.statuses.get(name)
        received = entry.status.received if entry else None
        return (received.term, received.lsn) if received else (-1, -1)

    def _follow_if_needed(self, name: str, status: TargetStatus, now: float) -> Effects:
        primary = self._view.primary
        if self._rank is None or primary is None or name == primary:
            return ()
        if not self._view.is_in_term(primary) or not self._must_follow(status):
            self._next_follow_at.pop(name, None)
            return ()
        # Watchers wait in the order of their ranks; normally only the first sends it.
        delay_s = self._rank * self._cfg.takeover_step_s
        due_at = self._next_follow_at.setdefault(name, now + delay_s)
        if now < due_at:
            return ()
        self._next_follow_at[name] = now + _FOLLOW_RETRY_S
        return (ev.Follow(name, self._view.term, primary),)

    def _must_follow(self, status: TargetStatus) -> bool:
        if status.fenced_term > self._view.term:
            return False
        return status.role is Role.PRIMARY or status.term < self._view.term
