"""Keep what one caller's connection has set and seen."""

import dataclasses

from rosemaryridge.config import Priority
from rosemaryridge.config import RequestRule
from rosemaryridge.model import Outcome
from rosemaryridge.request import RequestOptions
from rosemaryridge.session import SessionState


@dataclasses.dataclass(frozen=True, slots=True)
class ReadMark:
    """Note where and when the last read was answered, position unknown."""

    target: str
    at: float


@dataclasses.dataclass(slots=True)
class CallerState:
    """Hold one connection's settings, its session and its last outcome.

    `variables` are the PostgreSQL settings that travel with the caller to each
    target connection.
    """

    service: str
    business: str
    options: RequestOptions = RequestOptions()
    initial_options: RequestOptions = RequestOptions()
    variables: dict[str, str] = dataclasses.field(default_factory=dict)
    session: SessionState = dataclasses.field(default_factory=SessionState)
    mark: ReadMark | None = None
    last_outcome: Outcome = Outcome.DONE
    last_key: str = ""
    reported_token: str = ""

    def unreported_token(self) -> str:
        """Return the token if the caller asked for it and has not been told it."""
        if not self.options.report_token:
            return ""
        token = self.session.token()
        if token == self.reported_token:
            return ""
        self.reported_token = token
        return token

    def ended(self, outcome: Outcome, key: str = "") -> None:
        """Note how a request ended; a key is used up unless that is unknown."""
        self.last_outcome = outcome
        self.last_key = key
        if key and outcome is not Outcome.UNKNOWN and self.options.request_key == key:
            self.options = dataclasses.replace(self.options, request_key="")


@dataclasses.dataclass(frozen=True, slots=True)
class Terms:
    """Hold what binds one request: the caller's options over the operator's rule."""

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
    ) -> "Terms":
        """Return the terms of a request that starts now."""
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
