"""Name the settings of membership."""

from rosemaryridge.config import MembershipSettings

__all__ = ["MembershipSettings"]
