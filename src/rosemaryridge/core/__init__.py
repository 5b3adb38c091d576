"""Route statements with session consistency, independent of any protocol."""

from rosemaryridge.core import commands
from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._caller import Caller
from rosemaryridge.core._config import ConfigDraft
from rosemaryridge.core._config import ConfigHolder
from rosemaryridge.core._config import Consistency
from rosemaryridge.core._config import FleetConfig
from rosemaryridge.core._config import Route
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._failover import Failover
from rosemaryridge.core._freshness import PrimaryHistory
from rosemaryridge.core._group import Group
from rosemaryridge.core._keepalive import enable_keepalive
from rosemaryridge.core._peer_messages import PROTOCOL
from rosemaryridge.core._peers import Peer
from rosemaryridge.core._peers import Peers
from rosemaryridge.core._proxy import Proxy
from rosemaryridge.core._proxy_registry import ProxyRegistry
from rosemaryridge.core._shares import Shares
from rosemaryridge.core._shutdown import Shutdown
from rosemaryridge.core._statement import NOT_RUN
from rosemaryridge.core._statement import Answer
from rosemaryridge.core._statement import Failure
from rosemaryridge.core._statement import Statement
from rosemaryridge.core._statement import StatementError
from rosemaryridge.core._statement import TargetCondition
from rosemaryridge.core._statement import TargetLost
from rosemaryridge.core._statement import TransactionState
from rosemaryridge.core._statement import Verb
from rosemaryridge.core._target_info import TargetInfo
from rosemaryridge.core._timeout import running_timeout
from rosemaryridge.core.store import ClaimCache
from rosemaryridge.core.store import MirrorMonitor
from rosemaryridge.core.store import RetryGate
from rosemaryridge.core.store import StoreEra
from rosemaryridge.core.store import StoreMirror

__all__ = [
    "NOT_RUN",
    "PROTOCOL",
    "Answer",
    "Caller",
    "ClaimCache",
    "ConfigDraft",
    "ConfigHolder",
    "Consistency",
    "EventLog",
    "Failover",
    "Failure",
    "FleetConfig",
    "Group",
    "MirrorMonitor",
    "Peer",
    "Peers",
    "PrimaryHistory",
    "Proxy",
    "ProxyRegistry",
    "RetryGate",
    "Route",
    "Shares",
    "Shutdown",
    "Statement",
    "StatementError",
    "StoreEra",
    "StoreMirror",
    "TargetCondition",
    "TargetInfo",
    "TargetLost",
    "TransactionState",
    "Verb",
    "boottime",
    "commands",
    "enable_keepalive",
    "running_timeout",
]
