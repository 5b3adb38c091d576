"""Define what the group package asks of a target."""

import typing as t

from rosemaryridge.config import TargetConfig
from rosemaryridge.model import Endpoint
from rosemaryridge.model import TargetStatus


class TargetPort(t.Protocol):
    """Carry the replication verbs to targets.

    Every verb raises TargetUnavailable where no answer came in time, after which
    it may have taken effect.
    """

    async def status(self, target: TargetConfig, timeout_s: float) -> TargetStatus:
        """Return the target's replication state."""

    async def fence(
        self, target: TargetConfig, term: int, candidate: str, timeout_s: float
    ) -> TargetStatus:
        """Promise the target to a candidate at a term; raise FenceRefused."""

    async def promote(
        self, target: TargetConfig, term: int, candidate: str, timeout_s: float
    ) -> TargetStatus:
        """Make the target the primary of a term; raise FenceRefused."""

    async def follow(
        self, target: TargetConfig, term: int, primary: Endpoint, timeout_s: float
    ) -> TargetStatus:
        """Make the target a replica of a term's primary; raise FenceRefused."""
