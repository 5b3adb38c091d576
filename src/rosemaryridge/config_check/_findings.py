"""Define what a check reports and what it may assume."""

import dataclasses
import enum

from rosemaryridge.codes import Code


class Severity(enum.Enum):
    """Tell how a finding ends.

    ERROR: proxies refuse the configuration, or some callers. WARNING: something cannot
    work as it is written.
    """

    ERROR = "error"
    WARNING = "warning"


@dataclasses.dataclass(frozen=True, slots=True)
class Finding:
    """Report one fault: its code, where it is and why."""

    code: Code
    severity: Severity
    path: str
    text: str


@dataclasses.dataclass(frozen=True, slots=True)
class Assumptions:
    """State what a configuration does not tell; None if it is not known.

    `slots` are the statements that all targets of a service run at once, `work_s` the
    mean time of one, `replica_lag_s` the usual lag of replicas, `grace_s` the time
    between SIGTERM and SIGKILL.
    """

    proxies: int | None = None
    slots: int | None = None
    work_s: float | None = None
    replica_lag_s: float | None = None
    grace_s: float | None = None
