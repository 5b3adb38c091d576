"""Watch database groups, acknowledge writes and replace failed primaries."""

from rosemaryridge.group._port import TargetPort
from rosemaryridge.group._service import GroupService
from rosemaryridge.group._view import GroupView
from rosemaryridge.group._view import ObservedStatus

__all__ = ["GroupService", "GroupView", "ObservedStatus", "TargetPort"]
