"""Open and check connections to targets for the pools."""

import asyncio

import asyncpg

from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.config import TargetsSettings
from rosemaryridge.wire import Login
from rosemaryridge.wire import TargetConnection

# What asyncpg raises where a connection broke, or was found broken.
CONNECTION_ERRORS = (
    OSError,
    asyncpg.InterfaceError,
    asyncpg.InternalClientError,
    asyncpg.PostgresConnectionError,
)


class Connector:
    """Log in to targets with the credentials of the settings."""

    def __init__(self, cfg: TargetsSettings):
        self._cfg = cfg

    async def open(self, target: TargetConfig, service: ServiceConfig):
        """Return a new connection to a target."""
        login = Login(self._cfg.user, self._cfg.password, service.database)
        timeout_s = self._cfg.connect_timeout_s
        return await TargetConnection.open(target.endpoint, login, timeout_s)

    async def check(self, connection: TargetConnection, timeout_s: float) -> bool:
        """Return whether an idle connection still answers, and is in no transaction."""
        if connection.in_transaction():
            return False
        try:
            async with asyncio.timeout(timeout_s):
                await connection.command("SELECT 1")
        except (TimeoutError, asyncpg.PostgresError, *CONNECTION_ERRORS):
            return False
        return True
