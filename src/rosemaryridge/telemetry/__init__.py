"""Log, count and report health."""

from rosemaryridge.telemetry._metrics import Metrics

__all__ = ["Metrics"]
