"""Decide which targets a proxy reaches through an owner, and what an owner may open.

The load: more proxies than a target accepts connections. If each proxy connects by
itself, nearly every statement opens a connection, which occupies a slot of the target.
"""

import enum
import hashlib
import math
import typing as t

# A proxy keeps connections of its own where at least this many are its share. With one
# to two, a part of the proxies does, so that the number of direct connections changes
# continuously with the number of proxies.
_DIRECT_ROOM = 2.0
_OWNED_ROOM = 1.0
# Parts of a target's connections that its owner and the reserve may open. While lists
# of proxies differ there may be two owners; what is left is for proxies that reach
# neither owner nor reserve.
_PARTS = (0.45, 0.25)
_HASH_RANGE = 2**64


class OwnersMode(enum.Enum):
    """Set whether targets are reached through owners.

    `AUTO` decides by how many connections a target accepts beside the proxies.
    """

    DIRECT = "direct"
    OWNED = "owned"
    AUTO = "auto"


def direct_share(connections: int, proxies: int) -> float:
    """Return the share of the proxies that connects to a target directly, 0 to 1.

    `connections` is how many the target accepts from all proxies.
    """
    if proxies <= 0:
        return 1.0
    room = connections / proxies
    return min(1.0, max(0.0, (room - _OWNED_ROOM) / (_DIRECT_ROOM - _OWNED_ROOM)))


def connects_directly(vm: str, target: str, share: float) -> bool:
    """Return whether a proxy is in the share that connects directly."""
    return _hash(f"direct/{vm}/{target}") < share


def connection_limit(connections: int, rank: int, just_started: bool) -> int:
    """Return how many connections the proxy of a rank may open as a target's owner.

    Half of it just after the start, since targets count the connections of the
    processes that have died before for seconds. 0 for a proxy that is no owner.
    """
    if rank >= len(_PARTS):
        return 0
    part = connections * _PARTS[rank]
    return max(1, int(part / 2.0 if just_started else part))


def rank_owners(
    target: str, weights: t.Mapping[str, float], most: int = len(_PARTS)
) -> list[str]:
    """Return the owner and the reserve of a target by weighted rendezvous hash.

    `weights` are those of the eligible proxies. All proxies with the same list choose
    the same; a proxy that joins or leaves changes the owner of its own targets only.
    """
    usable = [vm for vm, weight in weights.items() if weight > 0.0]
    usable.sort(
        key=lambda vm: (-math.log(_hash(f"owner/{target}/{vm}")) / weights[vm], vm)
    )
    return usable[:most]


def _hash(text: str) -> float:
    """Return a number above 0 and at most 1 that depends on the text only."""
    digest = hashlib.blake2b(text.encode(), digest_size=8).digest()
    return (int.from_bytes(digest) + 1) / _HASH_RANGE
