"""Decide which share of the reads leaves this proxy's surroundings."""

from rosemaryridge.core.zones._distance import Distance
from rosemaryridge.core.zones._distance import Surroundings
from rosemaryridge.core.zones._spill import Spill

__all__ = ["Distance", "Spill", "Surroundings"]
