"""Define the port through which the group package controls targets."""

import typing as t

from rosemaryridge.config import TargetConfig
from rosemaryridge.model import Endpoint
from rosemaryridge.model import TargetStatus


class TargetPort(t.Protocol):
    """Run the replication verbs on targets.

    Every verb raises TargetUnavailable if no answer arrives within `timeout_s`
    seconds; its outcome is then unknown.
    """

    async def status(self, target: TargetConfig, timeout_s: float) -> TargetStatus:
        """Return the target's replication state."""

    async def fence(
        self, target: TargetConfig, term: int, candidate: str, timeout_s: float
    ) -> TargetStatus:
        """Make the target promise a term to a candidate and refuse lower terms.

        Raise FenceRefused if the target has promised the term to another candidate or
        has promised a higher term.
        """

    async def promote(
        self, target: TargetConfig, term: int, candidate: str, timeout_s: float
    ) -> TargetStatus:
        """Make the target the primary of a term.

        Raise FenceRefused if the target refuses it.
        """

    async def follow(
        self, target: TargetConfig, term: int, primary: Endpoint, timeout_s: float
    ) -> TargetStatus:
        """Make the target a replica of a term's primary.

        Raise FenceRefused if the target refuses it.
        """
