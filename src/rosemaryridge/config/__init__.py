"""Check, publish and adopt configuration."""

from rosemaryridge.config._check import Fault
from rosemaryridge.config._cross_service import SourcedService
from rosemaryridge.config._cross_service import check_cross_service
from rosemaryridge.config._describe import KeyNote
from rosemaryridge.config._describe import describe
from rosemaryridge.config._difference import Difference
from rosemaryridge.config._difference import differences
from rosemaryridge.config._follower import ConfigService
from rosemaryridge.config._load import check_service
from rosemaryridge.config._load import decode_service
from rosemaryridge.config._load import encode_service
from rosemaryridge.config._load import load_service
from rosemaryridge.config._load import load_settings
from rosemaryridge.config._load import to_plain
from rosemaryridge.config._publication import Publication
from rosemaryridge.config._publication import Revision
from rosemaryridge.config._publisher import Plan
from rosemaryridge.config._publisher import Publisher
from rosemaryridge.config._publisher import RevisionConflict
from rosemaryridge.config._publisher import find_revision
from rosemaryridge.config._reload import Reload
from rosemaryridge.config._reload import reload_settings
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
from rosemaryridge.objects import PlatformSettings

__all__ = [
    "AccountConfig",
    "AdminSettings",
    "BusinessConfig",
    "CallersSettings",
    "ConfigService",
    "Difference",
    "DrainSettings",
    "Fault",
    "FaultSettings",
    "GroupSettings",
    "KeyNote",
    "LogSettings",
    "MembershipSettings",
    "PeersSettings",
    "Plan",
    "PlatformSettings",
    "PoolSettings",
    "Priority",
    "ProxySettings",
    "Publication",
    "Publisher",
    "Reload",
    "RequestRule",
    "Revision",
    "RevisionConflict",
    "ServiceConfig",
    "ServicesSettings",
    "SourcedService",
    "TargetConfig",
    "TargetsSettings",
    "check_cross_service",
    "check_service",
    "decode_service",
    "describe",
    "differences",
    "encode_service",
    "find_revision",
    "load_service",
    "load_settings",
    "reload_settings",
    "to_plain",
]
