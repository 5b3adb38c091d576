"""Name what the pools can be tuned by."""

from rosemaryridge.config import PoolSettings

__all__ = ["PoolSettings"]
