"""Decide the next step and the outcome of requests."""

from rosemaryridge.request._events import Answered
from rosemaryridge.request._events import CancelRequested
from rosemaryridge.request._events import CancelTarget
from rosemaryridge.request._events import Confirm
from rosemaryridge.request._events import Confirmed
from rosemaryridge.request._events import ConfirmFailed
from rosemaryridge.request._events import ConnectionLost
from rosemaryridge.request._events import Continue
from rosemaryridge.request._events import DeadlinePassed
from rosemaryridge.request._events import Delivered
from rosemaryridge.request._events import Effect
from rosemaryridge.request._events import Event
from rosemaryridge.request._events import Failed
from rosemaryridge.request._events import Finish
from rosemaryridge.request._events import PrimaryReplaced
from rosemaryridge.request._events import Refused
from rosemaryridge.request._events import RequestKind
from rosemaryridge.request._events import Retry
from rosemaryridge.request._events import Sent
from rosemaryridge.request._options import PREFIX
from rosemaryridge.request._options import TOKEN
from rosemaryridge.request._options import RequestOptions
from rosemaryridge.request._options import show_option
from rosemaryridge.request._options import with_option
from rosemaryridge.request._options import without_option
from rosemaryridge.request._policy import ServicePolicy
from rosemaryridge.request._request import Request
from rosemaryridge.request._request import Stage

__all__ = [
    "PREFIX",
    "TOKEN",
    "Answered",
    "CancelRequested",
    "CancelTarget",
    "Confirm",
    "ConfirmFailed",
    "Confirmed",
    "ConnectionLost",
    "Continue",
    "DeadlinePassed",
    "Delivered",
    "Effect",
    "Event",
    "Failed",
    "Finish",
    "PrimaryReplaced",
    "Refused",
    "Request",
    "RequestKind",
    "RequestOptions",
    "Retry",
    "Sent",
    "ServicePolicy",
    "Stage",
    "show_option",
    "with_option",
    "without_option",
]
