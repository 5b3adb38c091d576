"""Map the keys of callers to businesses."""

import dataclasses
import typing as t

_FINGERPRINT_DIGITS = 8
# Longer keys are not looked up; callers control their length.
_MAX_KEY_BYTES = 1024


@dataclasses.dataclass(frozen=True, slots=True)
class Business:
    """Describe a business and its limit of operations over all proxies.

    `rate_per_s` is None if the business has no limit.
    """

    name: str
    rate_per_s: float | None = None
    burst: float = 0.0


# The business of callers without a key: of open routes, or of a configuration that
# names no businesses.
ANONYMOUS = Business("")


class KeyRing:
    """Find the business that holds a key.

    `problems` describes the businesses and keys that cannot be served.
    """

    def __init__(self, entries: t.Iterable[tuple[Business, t.Iterable[str]]] = ()):
        self.businesses: dict[str, Business] = {}
        self.problems: list[str] = []
        # The names that targets cannot be told.
        self.unsendable: list[str] = []
        # None for a key that several businesses hold. A look-up compares keys only
        # where their hashes under a secret of the process agree, so its time tells
        # nothing about other keys.
        self._holders: dict[bytes, Business | None] = {}
        for business, keys in entries:
            self._add(business, keys)

    def __bool__(self) -> bool:
        return bool(self.businesses)

    def find(self, key: bytes) -> Business | None:
        """Return the business that holds a key; None if none or several do."""
        if len(key) > _MAX_KEY_BYTES:
            return None
        return self._holders.get(key)

    def _add(self, business: Business, keys: t.Iterable[str]) -> None:
        self.businesses[business.name] = business
        if not _is_sendable(business.name):
            self.unsendable.append(business.name)
            self.problems.append(f"the name {business.name!r} cannot be sent")
            return
        for key in keys:
            data = key.encode()
            holder = self._holders.setdefault(data, business)
            if holder is not business:
                self._holders[data] = None
                self.problems.append(
                    f"key {fingerprint(data)} is held by several businesses, one of "
                    f"them {business.name}"
                )


def fingerprint(key: bytes) -> str:
    """Return a short identifier of a key for operators."""
    # Loaded here: it takes 0.65 MB, and few processes ever name a key.
    import hashlib

    return hashlib.sha256(key).hexdigest()[:_FINGERPRINT_DIGITS]


def _is_sendable(name: str) -> bool:
    return bool(name) and name.isprintable() and not any(map(str.isspace, name))
