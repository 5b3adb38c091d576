"""Identify the business that a caller's key belongs to."""

from rosemaryridge.core.businesses._key_ring import ANONYMOUS
from rosemaryridge.core.businesses._key_ring import Business
from rosemaryridge.core.businesses._key_ring import KeyRing
from rosemaryridge.core.businesses._key_ring import fingerprint

__all__ = ["ANONYMOUS", "Business", "KeyRing", "fingerprint"]
