"""Emulate the users' platform: metadata store, targets and promotion API."""

from rosemaryridge_testbed.site._client import Client
from rosemaryridge_testbed.site._client import Reply
from rosemaryridge_testbed.site._site import Site
from rosemaryridge_testbed.site._site import SiteBusiness
from rosemaryridge_testbed.site._site import SiteOptions
from rosemaryridge_testbed.site._store import MetadataStore
from rosemaryridge_testbed.site._store import RawJson
from rosemaryridge_testbed.site._target import SiteTarget

__all__ = [
    "Client",
    "MetadataStore",
    "RawJson",
    "Reply",
    "Site",
    "SiteBusiness",
    "SiteOptions",
    "SiteTarget",
]
