"""Log what cannot be read in the store."""

from rosemaryridge.core._event_log import EventLog

# Entries of which the last logged revision is known; the oldest is logged again.
_MAX_KNOWN = 512
_REASON_CHARS = 200


class UnreadableEntries:
    """Log each entry that cannot be read once for each of its revisions."""

    def __init__(self, log: EventLog):
        self._log = log
        self._logged: dict[tuple[str, str, str], int] = {}

    def report(
        self, event: str, kind: str, name: str, revision: int, reason: str
    ) -> None:
        """Log an entry as an event unless this revision has been logged."""
        key = (event, kind, name)
        if self._logged.get(key) == revision:
            return
        self._logged.pop(key, None)
        self._logged[key] = revision
        if len(self._logged) > _MAX_KNOWN:
            del self._logged[next(iter(self._logged))]
        self._log.write(
            event,
            kind=kind,
            name=name[:_REASON_CHARS],
            revision=revision,
            reason=reason[:_REASON_CHARS],
        )
