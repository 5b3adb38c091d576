"""Define the numbered result codes for callers and operators."""

from rosemaryridge.codes import _caller as caller
from rosemaryridge.codes import _config as config
from rosemaryridge.codes import _group as group
from rosemaryridge.codes import _limits as limits
from rosemaryridge.codes import _peer as peer
from rosemaryridge.codes import _platform as platform
from rosemaryridge.codes import _request as request
from rosemaryridge.codes._registry import Code
from rosemaryridge.codes._registry import all_codes

__all__ = [
    "Code",
    "all_codes",
    "caller",
    "config",
    "group",
    "limits",
    "peer",
    "platform",
    "request",
]
