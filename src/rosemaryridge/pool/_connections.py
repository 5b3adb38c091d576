"""Define a connection to a target as the pool uses it."""

import typing as t

from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig


class TargetConnection(t.Protocol):
    """Be one open connection to a target."""

    def is_closed(self) -> bool:
        """Return whether it can no longer be used."""

    async def close(self) -> None:
        """Close it and wait for the target."""

    def terminate(self) -> None:
        """Close it at once, without waiting."""


Connect = t.Callable[[TargetConfig, ServiceConfig], t.Awaitable[TargetConnection]]
Check = t.Callable[[TargetConnection, float], t.Awaitable[bool]]
