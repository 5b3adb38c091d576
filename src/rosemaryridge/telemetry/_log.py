"""Write log lines and action trees with eliot."""

import contextlib
import typing as t

import eliot

from rosemaryridge.telemetry import _specs
from rosemaryridge.telemetry._level import LogLevel
from rosemaryridge.telemetry._metrics import Metrics
from rosemaryridge.telemetry._redact import redact
from rosemaryridge.telemetry._repeats import RepeatLimiter
from rosemaryridge.timer import TimerService

if t.TYPE_CHECKING:
    from rosemaryridge.config import LogSettings


class _LogFilter:
    """Filter the log lines of this process by level and repetition.

    Without `start_logging`, every line from level INFO up is written.
    """

    def __init__(self) -> None:
        self.level = LogLevel.INFO
        self.actions = False
        self.timer: TimerService | None = None
        self.metrics: Metrics | None = None
        self.limiter: RepeatLimiter | None = None

    def admit(self, part: str, message: str, level: LogLevel) -> bool:
        if level < self.level:
            return False
        if self.limiter is None or self.timer is None:
            return True
        if self.limiter.admit((part, message, level), self.timer.now()):
            return True
        if self.metrics is not None:
            self.metrics.inc(_specs.LOG_SUPPRESSED, part)
        return False

    def write_repeats(self) -> None:
        for (part, message, level), count in self.limiter.end_periods(self.timer.now()):
            _write(part, message, level, {"repeated": count})


_FILTER = _LogFilter()


class Log:
    """Write log lines of one part of the proxy, prefixed with its name.

    The fields of a line are redacted.
    """

    def __init__(self, part: str):
        self.part = part

    def debug(self, message: str, **fields: t.Any) -> None:
        """Log details for developers."""
        self._log(LogLevel.DEBUG, message, fields)

    def info(self, message: str, **fields: t.Any) -> None:
        """Log an event that needs no attention."""
        self._log(LogLevel.INFO, message, fields)

    def warning(self, message: str, **fields: t.Any) -> None:
        """Log an event that an operator should look at."""
        self._log(LogLevel.WARNING, message, fields)

    def error(self, message: str, **fields: t.Any) -> None:
        """Log an event that an operator must act on."""
        self._log(LogLevel.ERROR, message, fields)

    def action(self, name: str, **fields: t.Any) -> t.ContextManager[t.Any]:
        """Open an action in the tree of a request; do nothing if trees are off."""
        if not _FILTER.actions:
            return contextlib.nullcontext()
        return _action(f"{self.part}:{name}", fields)

    def note(self, message: str, **fields: t.Any) -> None:
        """Log a line in the tree of a request; do nothing if trees are off."""
        if _FILTER.actions:
            _write(self.part, message, LogLevel.DEBUG, fields)

    def _log(self, level: LogLevel, message: str, fields: dict[str, t.Any]) -> None:
        if _FILTER.admit(self.part, message, level):
            _write(self.part, message, level, fields)


@contextlib.contextmanager
def _action(action_type: str, fields: dict[str, t.Any]) -> t.Iterator[None]:
    redacted = {key: redact(key, value) for key, value in fields.items()}
    action = eliot.start_action(action_type=action_type, **redacted)
    try:
        with action.context():
            yield
    except BaseException as exc:
        # eliot would log the text of the error, which may quote data of a caller.
        action.add_success_fields(error=redact("error", exc))
        raise
    finally:
        action.finish()


def start_logging(
    cfg: "LogSettings",
    timer: TimerService,
    metrics: Metrics | None = None,
    stream: t.TextIO | None = None,
) -> None:
    """Start logging with the given settings, to `stream` if it is not None.

    Without `metrics`, suppressed lines are not counted as a metric.
    """
    if stream is not None:
        eliot.to_file(stream)
    _FILTER.timer = timer
    _FILTER.metrics = metrics
    change_logging(cfg)
    timer.every(cfg.repeat_period_s, _FILTER.write_repeats)


def change_logging(cfg: "LogSettings") -> None:
    """Apply changed settings and reset the limits of repeated lines."""
    _FILTER.level = cfg.level
    _FILTER.actions = cfg.actions
    _FILTER.limiter = RepeatLimiter(cfg.repeat_limit, cfg.repeat_period_s)


def _write(part: str, message: str, level: LogLevel, fields: dict[str, t.Any]) -> None:
    redacted = {key: redact(key, value) for key, value in fields.items()}
    message_type = f"rosemaryridge:{part}"
    eliot.log_message(
        message_type, message=f"{part}: {message}", level=level.name.lower(), **redacted
    )
