"""Open and check connections to targets for the pools."""

import asyncio

import asyncpg

from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.config import TargetsSettings
from rosemaryridge.wire import Login
from rosemaryridge.wire import TargetConnection

# Errors that asyncpg raises when a connection breaks or is found to be broken.
CONNECTION_ERRORS = (
    OSError,
    asyncpg.InterfaceError,
    asyncpg.InternalClientError,
    asyncpg.PostgresConnectionError,
)


class Connector:
    """Open connections with the credentials from the settings."""

    def __init__(self, cfg: TargetsSettings):
        self._cfg = cfg

    async def open(self, target: TargetConfig, service: ServiceConfig):
        """Return a new connection to a target; raise one of CONNECTION_ERRORS."""
        login = Login(self._cfg.user, self._cfg.password, service.database)
        timeout_s = self._cfg.connect_timeout_s
        return await TargetConnection.open(target.endpoint, login, timeout_s)

    async def check(self, connection: TargetConnection, timeout_s: float) -> bool:
        """Return whether an idle connection answers and is not in a transaction."""
        if connection.in_transaction():
            return False
        try:
            async with asyncio.timeout(timeout_s):
                await connection.command("SELECT 1")
        except (TimeoutError, asyncpg.PostgresError, *CONNECTION_ERRORS):
            return False
        return True
