"""Define the levels of log lines."""

import enum


class LogLevel(enum.IntEnum):
    """Severity of a log line, in ascending order."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40
