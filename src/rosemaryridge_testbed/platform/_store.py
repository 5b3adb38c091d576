"""Store objects with store-wide versions, and limit the rate of calls."""

import msgspec

MAX_VALUE_BYTES = 1 << 20


class Item(msgspec.Struct, frozen=True):
    """Describe one stored object."""

    kind: str
    name: str
    version: int
    value: str


class Conflict(Exception):
    """Report a conditional write whose expected version is not the stored one."""

    def __init__(self, version: int):
        super().__init__(f"version {version} is stored")
        self.version = version


class TooLarge(Exception):
    """Report a value larger than MAX_VALUE_BYTES."""


class Store:
    """Store objects; versions increase store-wide and are never reused."""

    def __init__(self) -> None:
        self.revision = 0
        self._items: dict[tuple[str, str], Item] = {}

    def get(self, kind: str, name: str) -> Item | None:
        """Return an object, or None if it does not exist."""
        return self._items.get((kind, name))

    def put(self, kind: str, name: str, value: str, expected: int) -> Item:
        """Write if the stored version is `expected`; raise Conflict or TooLarge."""
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
        """Return a kind's objects changed after revision `since`, oldest first."""
        items = (item for item in self._items.values() if item.kind == kind)
        changed = [item for item in items if item.version > since]
        return sorted(changed, key=lambda item: item.version)


class RateLimit:
    """Limit calls a second with a token bucket that holds one second of calls."""

    def __init__(self, rate: float, now: float):
        self._rate = rate
        self._tokens = rate
        self._updated_at = now

    def acquire(self, now: float) -> float:
        """Take a token; return 0, or the seconds until one is available."""
        elapsed_s = now - self._updated_at
        self._updated_at = now
        filled = self._tokens + elapsed_s * self._rate
        self._tokens = min(filled, self._rate)
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / self._rate
        self._tokens -= 1.0
        return 0.0
