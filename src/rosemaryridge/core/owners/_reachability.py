"""Judge whether an owner reaches a target."""

# An owner that does not reach a target is skipped for that target for this long.
_DOUBT_S = 1.0
# A batch that has no reply for this long may be held by a target that is silent.
_SILENCE_S = 0.2


class Reachability:
    """Track what the replies of one owner show of its way to one target.

    It answers a cut between an owner and a target that its senders reach otherwise.
    Times are those of the event loop's clock.
    """

    __slots__ = ("_doubted_until", "_replied_at")

    def __init__(self) -> None:
        self._replied_at = float("-inf")
        self._doubted_until = float("-inf")

    def is_doubted(self, now: float) -> bool:
        """Return whether another way to the target should be tried first."""
        return now < self._doubted_until

    def record_reply(self, now: float) -> None:
        """Record a reply that tells something of the target."""
        self._replied_at = now

    def record_unreachable(self, now: float) -> None:
        """Record that the owner could not connect."""
        self._doubted_until = now + _DOUBT_S

    def record_abandoned(self, waited_since: float, now: float) -> None:
        """Record that a batch was given up without a reply."""
        if now - waited_since > _SILENCE_S and self._replied_at < waited_since:
            self._doubted_until = now + _DOUBT_S
