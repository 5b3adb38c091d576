"""Check, publish and adopt configuration."""

from rosemaryridge.config._check import Fault
from rosemaryridge.config._follower import ConfigService
from rosemaryridge.config._load import decode_service
from rosemaryridge.config._load import encode_service
from rosemaryridge.config._load import load_service
from rosemaryridge.config._load import load_settings
from rosemaryridge.config._load import to_plain
from rosemaryridge.config._service import AccountConfig
from rosemaryridge.config._service import BusinessConfig
from rosemaryridge.config._service import Priority
from rosemaryridge.config._service import RequestRule
from rosemaryridge.config._service import ServiceConfig
from rosemaryridge.config._service import TargetConfig
from rosemaryridge.config._settings import AdminSettings
from rosemaryridge.config._settings import CallersSettings
from rosemaryridge.config._settings import DrainSettings
from rosemaryridge.config._settings import FaultSettings
from rosemaryridge.config._settings import GroupSettings
from rosemaryridge.config._settings import LogSettings
from rosemaryridge.config._settings import MembershipSettings
from rosemaryridge.config._settings import PeersSettings
from rosemaryridge.config._settings import PoolSettings
from rosemaryridge.config._settings import ProxySettings
from rosemaryridge.config._settings import ServicesSettings
from rosemaryridge.config._settings import TargetsSettings
from rosemaryridge.platform import PlatformSettings

__all__ = [
    "AccountConfig",
    "AdminSettings",
    "BusinessConfig",
    "ConfigService",
    "CallersSettings",
    "DrainSettings",
    "Fault",
    "FaultSettings",
    "GroupSettings",
    "LogSettings",
    "MembershipSettings",
    "PeersSettings",
    "PlatformSettings",
    "PoolSettings",
    "Priority",
    "ProxySettings",
    "RequestRule",
    "ServiceConfig",
    "ServicesSettings",
    "TargetConfig",
    "TargetsSettings",
    "decode_service",
    "encode_service",
    "load_service",
    "load_settings",
    "to_plain",
]
