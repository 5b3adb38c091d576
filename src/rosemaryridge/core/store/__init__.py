"""Follow what the platform's store holds: mirrors, claims and eras."""

from rosemaryridge.core.store._changes import RelayedChange
from rosemaryridge.core.store._changes import RelayedObject
from rosemaryridge.core.store._changes import Update
from rosemaryridge.core.store._claims import CLAIMS_KIND
from rosemaryridge.core.store._claims import LEASE_S
from rosemaryridge.core.store._claims import NO_CLAIM
from rosemaryridge.core.store._claims import PROMOTION_DELAY_S
from rosemaryridge.core.store._claims import RELAYED_AGE_S
from rosemaryridge.core.store._claims import UNDECIDED_TARGET
from rosemaryridge.core.store._claims import Claim
from rosemaryridge.core.store._claims import ClaimCache
from rosemaryridge.core.store._claims import ClaimedTarget
from rosemaryridge.core.store._claims import ClaimListing
from rosemaryridge.core.store._claims import hidden_fence
from rosemaryridge.core.store._era import FENCES_PER_ERA
from rosemaryridge.core.store._era import StoreEra
from rosemaryridge.core.store._era import next_fence
from rosemaryridge.core.store._mirror import RetryGate
from rosemaryridge.core.store._mirror import StoreMirror
from rosemaryridge.core.store._monitor import MirrorListing
from rosemaryridge.core.store._monitor import MirrorMonitor
from rosemaryridge.core.store._monitor import MirrorState
from rosemaryridge.core.store._unreadable import UnreadableEntries

__all__ = [
    "CLAIMS_KIND",
    "FENCES_PER_ERA",
    "LEASE_S",
    "NO_CLAIM",
    "PROMOTION_DELAY_S",
    "RELAYED_AGE_S",
    "UNDECIDED_TARGET",
    "Claim",
    "ClaimCache",
    "ClaimListing",
    "ClaimedTarget",
    "MirrorListing",
    "MirrorMonitor",
    "MirrorState",
    "RelayedChange",
    "RelayedObject",
    "RetryGate",
    "StoreEra",
    "StoreMirror",
    "UnreadableEntries",
    "Update",
    "hidden_fence",
    "next_fence",
]
