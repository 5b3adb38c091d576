"""Call the platform's object API."""

from rosemaryridge.objects._api import ObjectStore
from rosemaryridge.objects._api import StoredObject
from rosemaryridge.objects._api import VmRecord
from rosemaryridge.objects._budget import CallBudget
from rosemaryridge.objects._confirm import put_confirmed
from rosemaryridge.objects._confirm import read_with_retries
from rosemaryridge.objects._http import MAX_VALUE_BYTES
from rosemaryridge.objects._http import HttpObjectStore
from rosemaryridge.objects._settings import PlatformSettings

__all__ = [
    "MAX_VALUE_BYTES",
    "CallBudget",
    "HttpObjectStore",
    "ObjectStore",
    "PlatformSettings",
    "StoredObject",
    "VmRecord",
    "put_confirmed",
    "read_with_retries",
]
