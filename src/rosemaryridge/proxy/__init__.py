"""Wire the parts of one proxy."""

from rosemaryridge.proxy._proxy import Proxy

__all__ = ["Proxy"]
