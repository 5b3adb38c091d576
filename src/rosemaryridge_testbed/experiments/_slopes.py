"""Measure the marginal cost of each kind of item in a proxy."""

import asyncio

from rosemaryridge_testbed.experiments._measure import Slope
from rosemaryridge_testbed.experiments._registry import Row
from rosemaryridge_testbed.experiments._registry import experiment
from rosemaryridge_testbed.experiments._slopes_data import group_slopes
from rosemaryridge_testbed.experiments._slopes_data import lease_slopes
from rosemaryridge_testbed.experiments._slopes_data import state_slopes
from rosemaryridge_testbed.experiments._slopes_peer import member_slopes
from rosemaryridge_testbed.experiments._slopes_peer import stream_slopes


async def _measure_all() -> list[Slope]:
    slopes = member_slopes()
    slopes += state_slopes()
    slopes += await lease_slopes()
    slopes += await group_slopes()
    slopes += await stream_slopes()
    return slopes


@experiment("slopes")
def run(seed: int) -> list[Row]:
    """Measure every slope at three sizes."""
    return [slope.row() for slope in asyncio.run(_measure_all())]
