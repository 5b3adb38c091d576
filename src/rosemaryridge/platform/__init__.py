"""Talk to the platform's object API."""

from rosemaryridge.platform._api import ObjectStore
from rosemaryridge.platform._api import StoredObject
from rosemaryridge.platform._api import VmRecord
from rosemaryridge.platform._budget import CallBudget
from rosemaryridge.platform._confirm import put_confirmed
from rosemaryridge.platform._confirm import read_patiently
from rosemaryridge.platform._http import MAX_VALUE_BYTES
from rosemaryridge.platform._http import HttpObjectStore
from rosemaryridge.platform._settings import PlatformSettings

__all__ = [
    "MAX_VALUE_BYTES",
    "CallBudget",
    "HttpObjectStore",
    "ObjectStore",
    "PlatformSettings",
    "StoredObject",
    "VmRecord",
    "put_confirmed",
    "read_patiently",
]
