"""Run one proxy between callers and targets."""

from rosemaryridge.proxy._proxy import Proxy

__all__ = ["Proxy"]
