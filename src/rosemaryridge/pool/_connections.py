"""Define the interface of target connections that the pool requires."""

import typing as t

from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig


class TargetConnection(t.Protocol):
    """Represent an open connection to a target."""

    def is_closed(self) -> bool:
        """Return whether the connection can no longer be used."""

    async def close(self) -> None:
        """Close the connection and wait for the target."""

    def terminate(self) -> None:
        """Close the connection at once, without waiting for the target."""


# Opens a connection to a target of a service.
Connect = t.Callable[[TargetConfig, ServiceConfig], t.Awaitable[TargetConnection]]
# Gets a timeout in seconds; returns whether the connection can still be used.
Check = t.Callable[[TargetConnection, float], t.Awaitable[bool]]
