"""Hold the settings and the session state of one caller's connection."""

import dataclasses
import typing as t

from rosemaryridge.config import Priority
from rosemaryridge.config import RequestRule
from rosemaryridge.model import Outcome
from rosemaryridge.request import RequestOptions
from rosemaryridge.session import SessionState
from rosemaryridge.wire import update_variables


@dataclasses.dataclass(frozen=True, slots=True)
class ReadMark:
    """Record the target and time of the last read whose position is unknown.

    `at` is in seconds of the proxy's timer.
    """

    target: str
    at: float


@dataclasses.dataclass(slots=True)
class CallerState:
    """Hold the settings, the session and the last outcome of one connection.

    `variables` are PostgreSQL settings that are applied to each target connection the
    caller uses.
    """

    service: str
    business: str
    options: RequestOptions = RequestOptions()
    initial_options: RequestOptions = RequestOptions()
    variables: dict[str, str] = dataclasses.field(default_factory=dict)
    session: SessionState = dataclasses.field(default_factory=SessionState)
    read_mark: ReadMark | None = None
    last_outcome: Outcome = Outcome.DONE
    last_key: str = ""
    reported_token: str = ""

    def unreported_token(self) -> str:
        """Return the token if the caller wants tokens and has not received this one."""
        if not self.options.report_token:
            return ""
        token = self.session.token()
        if token == self.reported_token:
            return ""
        self.reported_token = token
        return token

    def record_variables(self, changes: t.Mapping[str, str | None]) -> None:
        """Record the variables that a committed transaction has set; None for RESET."""
        update_variables(self.variables, changes)

    def record_outcome(self, outcome: Outcome, key: str = "") -> None:
        """Record the outcome of a request; clear its key unless the outcome is unknown.

        A key of unknown outcome stays set for a retry or a look-up.
        """
        self.last_outcome = outcome
        self.last_key = key
        if key and outcome is not Outcome.UNKNOWN and self.options.request_key == key:
            self.options = dataclasses.replace(self.options, request_key="")


@dataclasses.dataclass(frozen=True, slots=True)
class EffectiveOptions:
    """Hold the options of one request: the caller's, else those of the service's rule.

    `deadline` is in seconds of the proxy's timer.
    """

    max_age_s: float | None
    idempotent: bool
    priority: Priority
    deadline: float
    request_key: str
    session: str
    replica_wait_s: float = 0.0

    @classmethod
    def of(
        cls,
        options: RequestOptions,
        rule: RequestRule,
        default_deadline_s: float,
        now: float,
    ) -> "EffectiveOptions":
        """Return the options in effect for a request that starts at `now`."""
        age = options.max_age_s
        idempotent = options.idempotent
        priority = options.priority
        return cls(
            max_age_s=rule.max_age_s if age is None else age,
            idempotent=rule.idempotent if idempotent is None else idempotent,
            priority=rule.priority if priority is None else priority,
            deadline=now + (options.deadline_s or default_deadline_s),
            request_key=options.request_key,
            session=options.session,
            replica_wait_s=rule.replica_wait_s,
        )
