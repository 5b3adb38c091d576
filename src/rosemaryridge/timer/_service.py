"""Define the timer service that parts subscribe to."""

import random
import typing as t

Callback = t.Callable[[], None]


class Subscription(t.Protocol):
    """Stand for one timer that can be stopped."""

    def cancel(self) -> None:
        """Stop the timer; a second call does nothing."""


class TimerService(t.Protocol):
    """Tell monotonic time in seconds and call back at given times."""

    def now(self) -> float:
        """Return monotonic time in seconds."""

    def after(self, delay_s: float, callback: Callback) -> Subscription:
        """Call back once, after a delay in seconds."""

    def every(
        self,
        period_s: float,
        callback: Callback,
        jitter: float = 0.0,
        rng: random.Random | None = None,
    ) -> Subscription:
        """Call back each period in seconds, lengthened at random by up to jitter.

        `jitter` is a share of the period, drawn from `rng`.
        """


class Periodic:
    """Repeat a callback on top of a service's single timers."""

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
        self._arm()

    def _arm(self) -> None:
        extra = self._rng.random() * self._jitter if self._rng else 0.0
        self._timer = self._service.after(self._period_s * (1.0 + extra), self._fire)

    def _fire(self) -> None:
        self._arm()
        self._callback()

    def cancel(self) -> None:
        """Stop the timer; a second call does nothing."""
        if self._timer is not None:
            self._timer.cancel()
