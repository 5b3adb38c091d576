"""Write log lines through eliot."""

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


class _Sink:
    """Hold how this process writes log lines; before `start` it writes them all."""

    def __init__(self) -> None:
        self.level = LogLevel.INFO
        self.actions = False
        self.timer: TimerService | None = None
        self.metrics: Metrics | None = None
        self.limiter: RepeatLimiter | None = None

    def admits(self, part: str, sentence: str, level: LogLevel) -> bool:
        if level < self.level:
            return False
        if self.limiter is None or self.timer is None:
            return True
        if self.limiter.admit((part, sentence, level), self.timer.now()):
            return True
        if self.metrics is not None:
            self.metrics.inc(_specs.LOG_SUPPRESSED, part)
        return False

    def sweep(self) -> None:
        for (part, sentence, level), count in self.limiter.sweep(self.timer.now()):
            _write(part, sentence, level, {"repeated": count})


_SINK = _Sink()


class Log:
    """Write the lines of one part, each with the part's fixed prefix."""

    def __init__(self, part: str):
        self.part = part

    def debug(self, sentence: str, **fields: t.Any) -> None:
        """Write what only a developer needs."""
        self._log(LogLevel.DEBUG, sentence, fields)

    def info(self, sentence: str, **fields: t.Any) -> None:
        """Write what an operator may want to know later."""
        self._log(LogLevel.INFO, sentence, fields)

    def warning(self, sentence: str, **fields: t.Any) -> None:
        """Write what an operator should look at."""
        self._log(LogLevel.WARNING, sentence, fields)

    def error(self, sentence: str, **fields: t.Any) -> None:
        """Write what an operator must act on."""
        self._log(LogLevel.ERROR, sentence, fields)

    def action(self, name: str, **fields: t.Any) -> t.ContextManager[t.Any]:
        """Open an action of a request's tree where the settings ask for trees."""
        if not _SINK.actions:
            return contextlib.nullcontext()
        return _action(f"{self.part}:{name}", fields)

    def note(self, sentence: str, **fields: t.Any) -> None:
        """Write a line into a request's tree where the settings ask for trees."""
        if _SINK.actions:
            _write(self.part, sentence, LogLevel.DEBUG, fields)

    def _log(self, level: LogLevel, sentence: str, fields: dict[str, t.Any]) -> None:
        if _SINK.admits(self.part, sentence, level):
            _write(self.part, sentence, level, fields)


@contextlib.contextmanager
def _action(action_type: str, fields: dict[str, t.Any]) -> t.Iterator[None]:
    kept = {key: redact(key, value) for key, value in fields.items()}
    action = eliot.start_action(action_type=action_type, **kept)
    try:
        with action.context():
            yield
    except BaseException as exc:
        # The library would write the error's text, which may quote a caller's data.
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
    """Write this process's lines to a stream, by its settings."""
    if stream is not None:
        eliot.to_file(stream)
    _SINK.timer = timer
    _SINK.metrics = metrics
    change_logging(cfg)
    timer.every(cfg.repeat_period_s, _SINK.sweep)


def change_logging(cfg: "LogSettings") -> None:
    """Adopt changed settings."""
    _SINK.level = cfg.level
    _SINK.actions = cfg.actions
    _SINK.limiter = RepeatLimiter(cfg.repeat_limit, cfg.repeat_period_s)


def _write(part: str, sentence: str, level: LogLevel, fields: dict[str, t.Any]) -> None:
    kept = {key: redact(key, value) for key, value in fields.items()}
    message_type = f"rosemaryridge:{part}"
    eliot.log_message(
        message_type, message=f"{part}: {sentence}", level=level.name.lower(), **kept
    )
