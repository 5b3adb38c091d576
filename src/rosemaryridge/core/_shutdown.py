"""Decide what a process that has been told to stop still takes."""

import dataclasses

# Part of the grace period reserved for sending the last answers before SIGKILL.
EXIT_MARGIN_S = 0.7
# An answer may need this much longer than its statement's timeout: a write is proved to
# have run on the primary after the target's answer.
_ANSWER_SLACK_S = 0.3
# Open transactions and what came before may take this share of the grace period.
_OPEN_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Shutdown:
    """Plan a shutdown from its end; times are those of the event loop's clock.

    Callers that are refused go on elsewhere at once, while those whose connection is
    closed before its answer do not know what has run.
    """

    started_at: float
    grace_s: float

    @property
    def ends_at(self) -> float:
        """Return when each statement that is left is answered, and connections end."""
        return self.started_at + self.grace_s - EXIT_MARGIN_S

    def takes_statement(self, now: float, timeout_s: float) -> bool:
        """Return whether a statement is still sent to a target.

        In the first half of the grace period it is also if its timeout lies beyond the
        end: most take far less. One that does not is answered at the end.
        """
        if self.takes_transaction(now):
            return True
        return now + timeout_s + _ANSWER_SLACK_S <= self.ends_at

    def takes_batch(self, now: float, deadline: float, in_transaction: bool) -> bool:
        """Return whether a batch of another proxy is still served.

        New work goes to another owner at once, so that it is refused wherever its
        deadline lies beyond the end; an open transaction cannot.
        """
        if in_transaction and self.takes_transaction(now):
            return True
        return deadline <= self.ends_at

    def takes_transaction(self, now: float) -> bool:
        """Return whether a transaction may still begin."""
        until = self.started_at + _OPEN_SHARE * self.grace_s
        return now <= min(until, self.ends_at)
