"""Define one service's published configuration."""

import dataclasses
import enum

from rosemaryridge.model import Endpoint


class Priority(enum.IntEnum):
    """Order requests when a target is short of connections; lower is shed last."""

    CRITICAL = 0
    NORMAL = 1
    BACKGROUND = 2


@dataclasses.dataclass(frozen=True, slots=True)
class TargetConfig:
    """Describe one target of a service's database group."""

    name: str
    endpoint: Endpoint
    failure_domain: str
    region: str = ""
    slots: int = 3
    max_connections: int = 45


@dataclasses.dataclass(frozen=True, slots=True)
class AccountConfig:
    """Describe an account that callers log in with.

    `verifier` is a SCRAM-SHA-256 verifier as PostgreSQL stores it.
    """

    user: str
    business: str
    verifier: str


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRule:
    """Attach properties to the statements that a pattern matches.

    `pattern` is a regular expression, searched for in the statement's text without
    case. `max_age_s` is the age of data that a read accepts in seconds, None where
    only the session's own position binds. The first rule that matches applies.
    """

    name: str
    pattern: str
    max_age_s: float | None = None
    idempotent: bool = False
    priority: Priority = Priority.NORMAL


@dataclasses.dataclass(frozen=True, slots=True)
class BusinessConfig:
    """Set one business's share of a service's targets.

    `share` is the guaranteed share of connections and slots, from 0 to 1;
    `retry_ratio` the retries allowed per success; `queue_limit` the requests that
    may wait at one proxy.
    """

    name: str
    share: float = 1.0
    retry_ratio: float = 0.1
    queue_limit: int = 200


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Describe a service: its group of targets and what its requests may do.

    `revision` is the object store's version of the object that holds it.
    `read_functions` are functions that reads may call, in lower case.
    """

    name: str
    revision: int
    database: str
    targets: tuple[TargetConfig, ...]
    accounts: tuple[AccountConfig, ...] = ()
    businesses: tuple[BusinessConfig, ...] = ()
    rules: tuple[RequestRule, ...] = ()
    read_functions: tuple[str, ...] = ()
    default_deadline_s: float = 5.0
