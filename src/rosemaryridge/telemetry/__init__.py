"""Provide logs, metrics and the admin port."""

from rosemaryridge.telemetry._admin import AdminServer
from rosemaryridge.telemetry._level import LogLevel
from rosemaryridge.telemetry._log import Log
from rosemaryridge.telemetry._log import change_logging
from rosemaryridge.telemetry._log import start_logging
from rosemaryridge.telemetry._metrics import Metrics
from rosemaryridge.telemetry._pages import Pages
from rosemaryridge.telemetry._redact import redact_error
from rosemaryridge.telemetry._redact import redact_statement
from rosemaryridge.telemetry._specs import CALLERS
from rosemaryridge.telemetry._specs import CONNECTED_PEERS
from rosemaryridge.telemetry._specs import GROUP_TERM
from rosemaryridge.telemetry._specs import LIVE_PROXIES
from rosemaryridge.telemetry._specs import POOL_CONNECTIONS
from rosemaryridge.telemetry._specs import REFUSALS
from rosemaryridge.telemetry._specs import RETRIES
from rosemaryridge.telemetry._specs import REVISIONS
from rosemaryridge.telemetry._specs import SERVICE_REVISION
from rosemaryridge.telemetry._specs import STAGE_SECONDS
from rosemaryridge.telemetry._specs import STATEMENTS
from rosemaryridge.telemetry._specs import STORE_CALLS
from rosemaryridge.telemetry._specs import STORE_SECONDS
from rosemaryridge.telemetry._specs import TARGET_LAG
from rosemaryridge.telemetry._specs import MetricKind
from rosemaryridge.telemetry._specs import MetricSpec
from rosemaryridge.telemetry._specs import all_metrics
from rosemaryridge.telemetry._specs import counter
from rosemaryridge.telemetry._specs import gauge
from rosemaryridge.telemetry._specs import histogram

__all__ = [
    "CALLERS",
    "CONNECTED_PEERS",
    "GROUP_TERM",
    "LIVE_PROXIES",
    "POOL_CONNECTIONS",
    "REFUSALS",
    "RETRIES",
    "REVISIONS",
    "SERVICE_REVISION",
    "STAGE_SECONDS",
    "STATEMENTS",
    "STORE_CALLS",
    "STORE_SECONDS",
    "TARGET_LAG",
    "AdminServer",
    "Log",
    "LogLevel",
    "MetricKind",
    "MetricSpec",
    "Metrics",
    "Pages",
    "all_metrics",
    "change_logging",
    "counter",
    "gauge",
    "histogram",
    "redact_error",
    "redact_statement",
    "start_logging",
]
