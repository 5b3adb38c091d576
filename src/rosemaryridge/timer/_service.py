"""Define the timer service."""

import random
import typing as t

Callback = t.Callable[[], None]


class Subscription(t.Protocol):
    """Handle to cancel a timer."""

    def cancel(self) -> None:
        """Cancel the timer; a second call does nothing."""


class TimerService(t.Protocol):
    """Monotonic clock in seconds with single and periodic timers."""

    def now(self) -> float:
        """Return the monotonic time in seconds."""

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call `callback` once after a delay in seconds."""

    def every(
        self,
        period_s: float,
        callback: Callback,
        jitter: float = 0.0,
        rng: random.Random | None = None,
    ) -> Subscription:
        """Call `callback` each period in seconds, lengthened by a random jitter.

        `jitter` is the largest extension, as a fraction of the period; each is drawn
        from `rng`, and without `rng` periods are not extended.
        """


class PeriodicTimer:
    """Periodic timer on top of the single timers of a service."""

    __slots__ = ("_callback", "_jitter", "_period_s", "_rng", "_service", "_timer")

    def __init__(
        self,
        service: TimerService,
        period_s: float,
        callback: Callback,
        jitter: float,
        rng: random.Random | None,
    ):
        self._service = service
        self._period_s = period_s
        self._callback = callback
        self._jitter = jitter
        self._rng = rng
        self._timer: Subscription | None = None
        self._schedule()

    def _schedule(self) -> None:
        jitter = self._rng.random() * self._jitter if self._rng else 0.0
        self._timer = self._service.after(self._period_s * (1.0 + jitter), self._fire)

    def _fire(self) -> None:
        self._schedule()
        self._callback()

    def cancel(self) -> None:
        """Cancel the timer; a second call does nothing."""
        if self._timer is not None:
            self._timer.cancel()
