"""Let one proxy own the connections and the queue of a target.

`owners.service.Owners` is loaded only where targets have too few connections.
"""

from rosemaryridge.core.owners._policy import OwnersMode
from rosemaryridge.core.owners._policy import connection_limit
from rosemaryridge.core.owners._policy import connects_directly
from rosemaryridge.core.owners._policy import direct_share
from rosemaryridge.core.owners._policy import rank_owners

__all__ = [
    "OwnersMode",
    "connection_limit",
    "connects_directly",
    "direct_share",
    "rank_owners",
]
