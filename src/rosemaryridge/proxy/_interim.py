"""Stand in for parts of the proxy that are not there yet."""

from rosemaryridge.model import ORIGIN
from rosemaryridge.model import Position


class InterimDirectory:
    """Remember sessions in this process alone."""

    def __init__(self):
        self._known: dict[tuple[str, str], Position] = {}

    async def required(self, service, session, view):
        """Return what is known here."""
        return self._known.get((service, session))

    def record(self, service, session, position) -> None:
        """Remember here."""
        key = (service, session)
        self._known[key] = max(position, self._known.get(key, ORIGIN))
