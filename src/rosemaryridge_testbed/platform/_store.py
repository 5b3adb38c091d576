"""Keep objects with store-wide versions, and count calls against rates."""

import msgspec

MAX_VALUE_BYTES = 1 << 20


class Item(msgspec.Struct, frozen=True):
    """Hold one object."""

    kind: str
    name: str
    version: int
    value: str


class Conflict(Exception):
    """Report the version that is stored instead of the expected one."""

    def __init__(self, version: int):
        super().__init__(f"version {version} is stored")
        self.version = version


class TooLarge(Exception):
    """Report a value above the limit."""


class Store:
    """Hold objects; a version is never used twice."""

    def __init__(self) -> None:
        self.revision = 0
        self._items: dict[tuple[str, str], Item] = {}

    def get(self, kind: str, name: str) -> Item | None:
        """Return an object, None where it does not exist."""
        return self._items.get((kind, name))

    def put(self, kind: str, name: str, value: str, expected: int) -> Item:
        """Write where the version is `expected`; raise Conflict or TooLarge."""
        if len(value.encode()) > MAX_VALUE_BYTES:
            raise TooLarge
        stored = self._items.get((kind, name))
        version = stored.version if stored else 0
        if version != expected:
            raise Conflict(version)
        self.revision += 1
        item = Item(kind, name, self.revision, value)
        self._items[kind, name] = item
        return item

    def list(self, kind: str, since: int = 0) -> list[Item]:
        """Return a kind's objects that changed after a revision, oldest first."""
        items = (item for item in self._items.values() if item.kind == kind)
        changed = [item for item in items if item.version > since]
        return sorted(changed, key=lambda item: item.version)


class RateLimit:
    """Allow a number of calls a second, with a burst of one second's worth."""

    def __init__(self, per_second: float, now: float):
        self._per_second = per_second
        self._tokens = per_second
        self._at = now

    def take(self, now: float) -> float:
        """Count one call; return 0 where allowed, else the seconds to wait."""
        passed = now - self._at
        self._at = now
        filled = self._tokens + passed * self._per_second
        self._tokens = min(filled, self._per_second)
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / self._per_second
        self._tokens -= 1.0
        return 0.0
