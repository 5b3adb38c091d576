"""Check, publish and adopt configuration."""

from rosemaryridge.config._service import AccountConfig
from rosemaryridge.config._service import BusinessConfig
from rosemaryridge.config._service import Priority
from rosemaryridge.config._service import RequestRule
from rosemaryridge.config._service import ServiceConfig
from rosemaryridge.config._service import TargetConfig

__all__ = [
    "AccountConfig",
    "BusinessConfig",
    "Priority",
    "RequestRule",
    "ServiceConfig",
    "TargetConfig",
]
