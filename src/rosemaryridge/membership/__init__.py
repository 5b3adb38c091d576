"""Track the live proxies and place work on them."""

from rosemaryridge.config import MembershipSettings
from rosemaryridge.membership._member import Member
from rosemaryridge.membership._service import Membership

__all__ = ["Member", "Membership", "MembershipSettings"]
