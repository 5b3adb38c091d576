"""Limit, queue and reuse connections to targets."""

from rosemaryridge.config import PoolSettings
from rosemaryridge.pool._connections import Check
from rosemaryridge.pool._connections import Connect
from rosemaryridge.pool._connections import TargetConnection
from rosemaryridge.pool._lease_service import LeaseService
from rosemaryridge.pool._pools import Pools
from rosemaryridge.pool._pools import base_share
from rosemaryridge.pool._pools import lendable
from rosemaryridge.pool._retry import RetryBudget
from rosemaryridge.pool._slot_service import SlotService
from rosemaryridge.pool._target import PooledConnection

__all__ = [
    "Check",
    "Connect",
    "LeaseService",
    "PoolSettings",
    "PooledConnection",
    "Pools",
    "RetryBudget",
    "SlotService",
    "TargetConnection",
    "base_share",
    "lendable",
]
