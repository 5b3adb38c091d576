"""Order log lines by weight."""

import enum


class LogLevel(enum.IntEnum):
    """Name the weight of a log line."""

    DEBUG = 10
    INFO = 20
    WARNING = 30
    ERROR = 40
