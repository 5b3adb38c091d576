"""Keep the claims by which proxies agree on promotions."""

from rosemaryridge.core.promotions._claim_register import ClaimRegister
from rosemaryridge.core.promotions._claim_register import ClaimStore

__all__ = ["ClaimRegister", "ClaimStore"]
