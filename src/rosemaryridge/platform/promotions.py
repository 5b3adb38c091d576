"""Order promotions at the platform."""

import json

from rosemaryridge.exceptions import FenceRefused
from rosemaryridge.exceptions import StoreLimited
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.platform.http import HttpClient

_CONNECT_TIMEOUT_S = 0.5
# The call itself is quick; the promotion goes on after its answer.
_CALL_TIMEOUT_S = 1.5
_LIMITED_RETRY_S = 0.2


class Promotions:
    """Call the platform to name a group's next primary."""

    def __init__(self, endpoint: Endpoint, vm: str):
        self._http = HttpClient(endpoint, _CONNECT_TIMEOUT_S)
        self._vm = vm

    async def promote(self, service: str, target: str, fence: int) -> None:
        """Order a promotion.

        Raises FenceRefused where a higher fence was seen or the target does not
        run; after StoreUnavailable the order may still be carried out later.
        """
        body = json.dumps({"service": service, "id": target}).encode()
        headers = {
            "X-Rosemaryridge-Lease-Holder": self._vm,
            "X-Rosemaryridge-Fencing-Token": str(fence),
        }
        answer = await self._http.call(
            "POST", "/promote", body, headers, _CALL_TIMEOUT_S
        )
        if answer.status == 409:
            raise FenceRefused(fence)
        if answer.status == 429:
            raise StoreLimited("too many promotions", _LIMITED_RETRY_S)
        if answer.status != 200:
            raise StoreUnavailable(f"promoting {target}: answer {answer.status}")

    def close(self) -> None:
        """Close the connections."""
        self._http.close()
