"""Know which proxies are live and place work on them."""

from rosemaryridge.membership._member import Member
from rosemaryridge.membership._service import Membership
from rosemaryridge.membership._settings import MembershipSettings

__all__ = ["Member", "Membership", "MembershipSettings"]
