"""Decide when and how a group's primary is replaced."""

import random
import typing as t

from rosemaryridge.config import GroupSettings
from rosemaryridge.group import _events as ev
from rosemaryridge.group._election import Election
from rosemaryridge.group._evidence import Evidence
from rosemaryridge.group._view import GroupView
from rosemaryridge.model import Role
from rosemaryridge.model import TargetStatus

_FOLLOW_PERIOD_S = 0.5

Effects = tuple[ev.Effect, ...]
_Handler = t.Callable[["Failover", t.Any, float], Effects]
_HANDLERS: dict[type, _Handler] = {}


def _handles(kind: type) -> t.Callable[[_Handler], _Handler]:
    def register(handler: _Handler) -> _Handler:
        _HANDLERS[kind] = handler
        return handler

    return register


class Failover:
    """Watch one group as one of its watchers.

    The view must have taken in a status before its event is given.
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
        self._highest_term = 0
        self._own_term = -1
        self._ticked_at: float | None = None
        self._due_at: float | None = None
        self._hold_until = float("-inf")
        self._poll_at: dict[str, float] = {}
        self._followed_at: dict[str, float] = {}
        self._reported = False

    @property
    def candidate_term(self) -> int | None:
        """Return the term that this proxy is a candidate for."""
        return self._election.term if self._election else None

    def on_event(self, event: ev.Event, now: float) -> Effects:
        """Take in one event and return what to do about it."""
        return _HANDLERS[type(event)](self, event, now)

    @_handles(ev.Ranked)
    def _ranked(self, event: ev.Ranked, now: float) -> Effects:
        self._rank = event.rank
        self._evidence.watchers = event.watchers
        return ()

    @_handles(ev.Tick)
    def _tick(self, event: ev.Tick, now: float) -> Effects:
        paused = self._ticked_at is not None and now - self._ticked_at > (
            self._cfg.pause_s
        )
        self._ticked_at = now
        if paused:
            self._forget()
        if self._rank is None:
            return ()
        return self._polls(now) + self._report(now) + self._advance(now)

    @_handles(ev.StatusSeen)
    def _status_seen(self, event: ev.StatusSeen, now: float) -> Effects:
        self._evidence.answered(event.target)
        self._notice_term(event.status.fenced_term, now)
        withdrawn: Effects = ()
        if self._reported and event.target == self._view.primary:
            self._reported = False
            withdrawn = (ev.Report(event.target, self._view.term, 0.0),)
        repointed = self._repoint(event.target, event.status, now)
        advanced = self._advance(now) if self._is_alert() else ()
        return withdrawn + repointed + advanced

    @_handles(ev.StatusFailed)
    def _status_failed(self, event: ev.StatusFailed, now: float) -> Effects:
        self._evidence.failed(event.target, event.sent_at)
        if event.target != self._view.primary or self._rank is None:
            return ()
        self._reported = True
        silence_s = max(self._evidence.silence_s(event.target, now), 1e-3)
        report = ev.Report(event.target, self._view.term, silence_s)
        return (report, *self._polls(now), *self._advance(now))

    @_handles(ev.Suspected)
    def _suspected(self, event: ev.Suspected, now: float) -> Effects:
        return tuple(ev.Poll(name) for name in self._view.targets)

    @_handles(ev.PeerReported)
    def _peer_reported(self, event: ev.PeerReported, now: float) -> Effects:
        self._evidence.reported(event, now)
        if event.silence_s <= 0.0 or self._rank is None:
            return ()
        return (ev.Poll(event.primary),)

    @_handles(ev.PeerTakeover)
    def _peer_takeover(self, event: ev.PeerTakeover, now: float) -> Effects:
        self._notice_term(event.term, now)
        return ()

    @_handles(ev.FenceEnded)
    def _fence_ended(self, event: ev.FenceEnded, now: float) -> Effects:
        self._highest_term = max(self._highest_term, event.refused_term)
        if self._election is None:
            return ()
        return self._election.fence_ended(event) + self._advance(now)

    @_handles(ev.PromoteEnded)
    def _promote_ended(self, event: ev.PromoteEnded, now: float) -> Effects:
        if self._election is None:
            return ()
        effects = self._election.promote_ended(event)
        if self._election.winner is None:
            return effects + self._advance(now)
        return effects + self._win()

    def _win(self) -> Effects:
        term, primary = self._election.term, self._election.winner
        self._election = None
        self._due_at = None
        self._view.announce(term, primary)
        others = [name for name in self._view.targets if name != primary]
        follows = tuple(ev.Follow(name, term, primary) for name in others)
        return (ev.Led(term, primary), *follows)

    def _forget(self) -> None:
        self._evidence.reset()
        self._election = None
        self._due_at = None

    def _notice_term(self, term: int, now: float) -> None:
        ours = self._election is not None and self._election.term >= term
        if term > max(self._highest_term, self._view.term) and not ours:
            self._hold(now, self._cfg.takeover_timeout_s)
        self._highest_term = max(self._highest_term, term)

    def _hold(self, now: float, delay_s: float) -> None:
        self._due_at = None
        self._hold_until = now + delay_s * self._rng.uniform(1.0, 1.25)

    def _is_alert(self) -> bool:
        primary = self._view.primary
        return primary is None or self._evidence.doubted(primary)

    def _polls(self, now: float) -> Effects:
        cfg = self._cfg
        period_s = cfg.retry_period_s if self._is_alert() else cfg.poll_period_s
        polls = []
        for name in self._view.targets:
            polled_at = self._poll_at.get(name, float("-inf"))
            if now - polled_at >= period_s:
                jitter_s = period_s * self._cfg.jitter * self._rng.random()
                self._poll_at[name] = now + jitter_s
                polls.append(ev.Poll(name))
        return tuple(polls)

    def _report(self, now: float) -> Effects:
        primary = self._view.primary
        if primary is None:
            return ()
        silence_s = self._evidence.silence_s(primary, now, 2)
        crossed = silence_s - self._cfg.suspicion_s
        if not 0.0 <= crossed < self._cfg.retry_period_s:
            return ()
        self._reported = True
        return (ev.Report(primary, self._view.term, silence_s),)

    def _advance(self, now: float) -> Effects:
        if self._election is not None:
            return self._watch_election(now)
        patience_s = self._cfg.takeover_timeout_s
        if self._own_term >= max(self._view.highest_term, self._highest_term):
            patience_s = 0.0
        cause = self._evidence.cause(now, patience_s)
        if cause is None:
            self._due_at = None
            return ()
        if self._rank is None or now < self._hold_until:
            return ()
        if self._due_at is None:
            wait = self._rank + self._rng.uniform(0.0, 0.5)
            self._due_at = now + wait * self._cfg.takeover_step_s
        return self._begin(cause, now) if now >= self._due_at else ()

    def _watch_election(self, now: float) -> Effects:
        election = self._election
        late = now - election.started_at >= self._cfg.takeover_timeout_s
        if not late and not election.lost:
            return ()
        self._election = None
        self._hold(now, self._rng.random() * self._cfg.takeover_step_s)
        return (ev.TakeoverFailed(election.term),)

    def _begin(self, cause: ev.Cause, now: float) -> Effects:
        view = self._view
        term = max(view.highest_term, view.term, self._highest_term) + 1
        voters = self._evidence.voters(cause)
        majority = view.majority
        if self._skip_fencing:
            voters = (max(voters, key=self._received),)
            majority = 1
        self._own_term = self._highest_term = term
        self._due_at = None
        candidate = f"{self._vm}.{self._rng.getrandbits(32):08x}"
        self._election = Election(term, candidate, voters, majority, view.primary, now)
        return (ev.TakeoverBegan(term, cause), *self._election.begin())

    def _received(self, name: str) -> tuple[int, int]:
        entry = self._view.statuses.get(name)
        received = entry.status.received if entry else None
        return (received.term, received.lsn) if received else (-1, -1)

    def _repoint(self, name: str, status: TargetStatus, now: float) -> Effects:
        primary = self._view.primary
        if self._rank is None or primary is None or name == primary:
            return ()
        if not self._view.follows(primary) or not self._strays(status):
            self._followed_at.pop(name, None)
            return ()
        # A watcher of a higher rank is given time to do the same before.
        pause_s = self._rank * self._cfg.takeover_step_s
        due_at = self._followed_at.setdefault(name, now + pause_s)
        if now < due_at:
            return ()
        self._followed_at[name] = now + _FOLLOW_PERIOD_S
        return (ev.Follow(name, self._view.term, primary),)

    def _strays(self, status: TargetStatus) -> bool:
        if status.fenced_term > self._view.term:
            return False
        return status.role is Role.PRIMARY or status.term < self._view.term
