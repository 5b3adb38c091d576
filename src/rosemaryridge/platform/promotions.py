"""Order promotions from the platform."""

import json
import typing as t

from rosemaryridge.exceptions import FenceRefused
from rosemaryridge.exceptions import OrderExpired
from rosemaryridge.exceptions import StoreLimited
from rosemaryridge.exceptions import StoreUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.platform.http import HttpClient

_CONNECT_TIMEOUT_S = 0.5
# The platform responds before the promotion is complete.
_CALL_TIMEOUT_S = 1.5
_RATE_LIMIT_RETRY_S = 0.2


class PromotionClient:
    """Order the promotion of a target to the primary of its group."""

    def __init__(self, endpoint: Endpoint, vm: str):
        self._http = HttpClient(endpoint, _CONNECT_TIMEOUT_S)
        self._vm = vm

    async def promote(
        self, service: str, target: str, fence: int, may_send: t.Callable[[], bool]
    ) -> None:
        """Order a promotion.

        Raises FenceRefused if the platform has seen a higher fence or the target is
        not running, and OrderExpired if `may_send` forbids the order right before it
        is sent; after StoreUnavailable the promotion may still take place.
        """
        body = json.dumps({"service": service, "id": target}).encode()
        headers = {
            "X-Rosemaryridge-Lease-Holder": self._vm,
            "X-Rosemaryridge-Fencing-Token": str(fence),
        }

        def check_expiry() -> None:
            if not may_send():
                raise OrderExpired(f"the order to promote {target} expired unsent")

        resp = await self._http.call(
            "POST", "/promote", body, headers, _CALL_TIMEOUT_S, check_expiry
        )
        if resp.status == 409:
            raise FenceRefused(fence)
        if resp.status == 429:
            raise StoreLimited(
                "the platform rejected the promotion: rate limit exceeded",
                _RATE_LIMIT_RETRY_S,
            )
        if resp.status != 200:
            raise StoreUnavailable(
                f"promotion of {target}: unexpected status {resp.status}"
            )

    def close(self) -> None:
        """Close the connections."""
        self._http.close()
