"""Choose the proxies that issue the permits of a business."""

import typing as t

from rosemaryridge.core._peers import Peer
from rosemaryridge.core._peers import rank_peers
from rosemaryridge.core.zones import Surroundings

# Where there are fewer failure domains, some of them have several issuers.
_MIN_ISSUERS = 3


def choose_issuers(subject: str, peers: t.Iterable[Peer]) -> list[Peer]:
    """Return the proxies that may issue permits, one of each failure domain, by rank.

    All proxies with the same list of peers choose the same ones.
    """
    ranked = rank_peers(subject, peers)
    by_domain: dict[str, Peer] = {}
    for peer in ranked:
        by_domain.setdefault(peer.failure_domain, peer)
    issuers = list(by_domain.values())
    for peer in ranked:
        if len(issuers) >= _MIN_ISSUERS:
            break
        if peer not in issuers:
            issuers.append(peer)
    return issuers


def order_issuers(issuers: t.Iterable[Peer], surroundings: Surroundings) -> list[Peer]:
    """Return the issuers in the order to ask them: the nearest first."""
    return sorted(
        issuers, key=lambda issuer: surroundings.distance_to(issuer.failure_domain)
    )
