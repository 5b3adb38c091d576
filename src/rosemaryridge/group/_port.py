"""Define the port through which the group package controls targets."""

import typing as t

from rosemaryridge.config import TargetConfig
from rosemaryridge.model import Endpoint
from rosemaryridge.model import TargetStatus


class TargetPort(t.Protocol):
    """Run the replication commands on targets.

    Every command raises TargetUnavailable if no answer arrives within `timeout_s`
    seconds; its outcome is then unknown.
    """

    async def status(self, target: TargetConfig, timeout_s: float) -> TargetStatus:
        """Return the target's replication state."""

    async def fence(
        self, target: TargetConfig, term: int, candidate: str, timeout_s: float
    ) -> TargetStatus:
        """Make the target promise a term to a candidate and refuse lower terms.

        Return the status after that.
        Raise FenceRefused if the target has promised the term to another candidate or
        has promised a higher term.
        """

    async def promote(
        self, target: TargetConfig, term: int, candidate: str, timeout_s: float
    ) -> TargetStatus:
        """Make the target the primary of a term; return the status after that.

        Raise FenceRefused unless the target is promised to the candidate in the term.
        """

    async def follow(
        self, target: TargetConfig, term: int, primary: Endpoint, timeout_s: float
    ) -> TargetStatus:
        """Make the target a replica of a term's primary; return the status after that.

        Raise FenceRefused if the target has promised a higher term or is itself the
        primary of the term.
        """
