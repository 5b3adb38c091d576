"""Define one service's published configuration."""

import dataclasses
import enum
import typing as t

from rosemaryridge.fields import Between
from rosemaryridge.fields import Count
from rosemaryridge.fields import Name
from rosemaryridge.fields import NotEmpty
from rosemaryridge.fields import Positive
from rosemaryridge.fields import Seconds
from rosemaryridge.fields import Share
from rosemaryridge.fields import setting
from rosemaryridge.model import Endpoint

_LONGEST_DEADLINE_S = 3_600.0


class Priority(enum.IntEnum):
    """Order requests when a target is short of connections; lower is shed last."""

    CRITICAL = 0
    NORMAL = 1
    BACKGROUND = 2


@dataclasses.dataclass(frozen=True, slots=True)
class TargetConfig:
    """Describe one target of a service's database group."""

    name: Name = setting(doc="Name of the target.")
    endpoint: Endpoint = setting(doc="Address of the target's PostgreSQL.")
    failure_domain: Name = setting(doc="Failure domain of the target.")
    region: str = setting("", "Region of the target.")
    slots: Positive = setting(3, "Transactions that it runs at once.")
    max_connections: Positive = setting(45, "Connections that it accepts.")


@dataclasses.dataclass(frozen=True, slots=True)
class AccountConfig:
    """Describe an account that callers log in with.

    `verifier` is a SCRAM-SHA-256 verifier as PostgreSQL stores it.
    """

    user: Name = setting(doc="User name.")
    business: Name = setting(doc="Business that the account's requests count to.")
    verifier: Name = setting(
        doc="SCRAM-SHA-256 verifier, as PostgreSQL stores it.", secret=True
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRule:
    """Attach properties to the statements that a pattern matches.

    `pattern` is a regular expression, searched for in the statement's text without
    case. `max_age_s` is the age of data that a read accepts in seconds, None where
    only the session's own position binds. `replica_wait_s` is how long a read waits
    for a replica that is about to catch up, before it goes to the primary. The first
    rule that matches applies.
    """

    name: Name = setting(doc="Name of the rule.")
    pattern: Name = setting(
        doc="Regular expression, searched for in the statement without case."
    )
    max_age_s: Seconds | None = setting(
        None, "Age of data that its reads accept; null: the session's own writes bind."
    )
    replica_wait_s: Seconds = setting(
        0.2, "Time that its reads wait for a replica to catch up; 0: never."
    )
    idempotent: bool = setting(False, "Whether it may run twice.")
    priority: Priority = setting(Priority.NORMAL, "Order in which requests are shed.")


@dataclasses.dataclass(frozen=True, slots=True)
class BusinessConfig:
    """Set one business's share of a service's targets.

    `share` is the guaranteed share of connections and slots, from 0 to 1;
    `retry_ratio` the retries allowed per success; `queue_limit` the requests that
    may wait at one proxy.
    """

    name: Name = setting(doc="Name of the business.")
    share: Share = setting(1.0, "Share of slots and connections kept for it.")
    retry_ratio: Share = setting(0.1, "Retries allowed for each success.")
    queue_limit: Count = setting(200, "Requests that may wait at one proxy.")


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Describe a service: its group of targets and what its requests may do.

    `revision` is the object store's version of the object that holds it.
    `read_functions` are functions that reads may call, in lower case.
    """

    name: Name = setting(doc="Name of the service, that callers give as database.")
    revision: int = setting(doc="Version in the object store.", internal=True)
    database: Name = setting(doc="Name of the database on the targets.")
    targets: t.Annotated[tuple[TargetConfig, ...], NotEmpty()] = setting(
        doc="Targets of the database group."
    )
    accounts: tuple[AccountConfig, ...] = setting((), "Accounts of callers.")
    businesses: tuple[BusinessConfig, ...] = setting((), "Businesses that share it.")
    rules: tuple[RequestRule, ...] = setting((), "Rules for requests, in order.")
    read_functions: tuple[str, ...] = setting(
        (), "Functions that change nothing, in lower case."
    )
    default_deadline_s: t.Annotated[float, Between(0.01, _LONGEST_DEADLINE_S)] = (
        setting(5.0, "Deadline of a request that gives none.")
    )
