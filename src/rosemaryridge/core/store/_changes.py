"""Keep the objects of a mirror for proxies that take changes from this one."""

import typing as t

# Removed objects that are remembered; a proxy that lacks more gets a list.
_MAX_REMOVED = 256


class RelayedObject(t.NamedTuple):
    """Hold an object of the store as another proxy has read it."""

    name: str
    revision: int
    spec: t.Any


class RelayedChange(t.NamedTuple):
    """Describe the last write of an object, or its removal."""

    object: RelayedObject
    removed: bool


class Update(t.NamedTuple):
    """Lead from a known revision to a newer one.

    With `full`, the changes are a list of all objects, else the last one of each object
    that has changed.
    """

    revision: int
    full: bool
    changes: tuple[RelayedChange, ...]


class ChangeLog:
    """Keep the last change of each object, from a listed revision on."""

    def __init__(self) -> None:
        # The revision after which removals are known, and that of the last change.
        self._floor: int | None = None
        self._revision = 0
        # By name, the revision at which the change was reported; the newest is last.
        self._changes: dict[str, tuple[int, RelayedChange]] = {}
        self._removed = 0

    def restart(self, revision: int | None, objects: t.Iterable[t.Any] = ()) -> None:
        """Start from a list; `revision` is None if nothing is known."""
        self._floor = revision
        self._revision = revision or 0
        self._removed = 0
        self._changes = {
            obj.name: (obj.revision, RelayedChange(_relayed(obj), False))
            for obj in objects
        }

    def append(self, revision: int, changes: t.Iterable[t.Any]) -> None:
        """Add the changes that the store reported together."""
        self._revision = revision
        for change in changes:
            _, former = self._changes.pop(change.object.name, (0, None))
            self._removed += change.removed - (former is not None and former.removed)
            relayed = RelayedChange(_relayed(change.object), change.removed)
            self._changes[change.object.name] = (revision, relayed)
        if self._removed > _MAX_REMOVED:
            self._forget_removed()

    def after(self, revision: int) -> Update | None:
        """Return what leads on from a revision; None if nothing does or is known."""
        if self._floor is None or revision >= self._revision:
            return None
        is_full = revision < self._floor
        found = tuple(
            change
            for changed_at, change in self._changes.values()
            if (not change.removed if is_full else changed_at > revision)
        )
        return Update(self._revision, is_full, found) if is_full or found else None

    def _forget_removed(self) -> None:
        self._floor = self._revision
        self._removed = 0
        self._changes = {
            name: item for name, item in self._changes.items() if not item[1].removed
        }


def _relayed(obj: t.Any) -> RelayedObject:
    return RelayedObject(obj.name, obj.revision, obj.spec)
