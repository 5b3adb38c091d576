"""Provide a monotonic clock and timers."""

from rosemaryridge.timer._loop import LoopTimer
from rosemaryridge.timer._manual import ManualTimer
from rosemaryridge.timer._service import Subscription
from rosemaryridge.timer._service import TimerService
from rosemaryridge.timer._sleep import sleep

__all__ = ["LoopTimer", "ManualTimer", "Subscription", "TimerService", "sleep"]
