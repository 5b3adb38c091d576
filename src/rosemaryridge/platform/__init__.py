"""Talk to the platform's object API."""

from rosemaryridge.platform._api import ObjectStore
from rosemaryridge.platform._api import StoredObject
from rosemaryridge.platform._api import VmRecord

__all__ = ["ObjectStore", "StoredObject", "VmRecord"]
