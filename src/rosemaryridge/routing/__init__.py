"""Select the target that serves each request."""

from rosemaryridge.routing._health import TargetHealth
from rosemaryridge.routing._policies import policy
from rosemaryridge.routing._policies import policy_names
from rosemaryridge.routing._router import Router
from rosemaryridge.routing._view import TargetRequirement

__all__ = ["Router", "TargetHealth", "TargetRequirement", "policy", "policy_names"]
