"""Define the published configuration of a service."""

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

_MAX_DEADLINE_S = 3_600.0


class Priority(enum.IntEnum):
    """Rank requests when a target lacks connections; the lowest is shed last."""

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
    slots: Positive = setting(3, "Transactions that the target runs at once.")
    max_connections: Positive = setting(45, "Connections that the target accepts.")


@dataclasses.dataclass(frozen=True, slots=True)
class AccountConfig:
    """Describe an account that callers log in with.

    `verifier` is a SCRAM-SHA-256 verifier as PostgreSQL stores it.
    """

    user: Name = setting(doc="User name.")
    business: Name = setting(doc="Business that the account's requests belong to.")
    verifier: Name = setting(
        doc="SCRAM-SHA-256 verifier, as PostgreSQL stores it.", secret=True
    )


@dataclasses.dataclass(frozen=True, slots=True)
class RequestRule:
    """Assign properties to the statements that match a pattern.

    `pattern` is a regular expression, searched for in the statement's text regardless
    of case. `max_age_s` is the largest age of the data that a read accepts, in seconds;
    None applies only the session's own position. `replica_wait_s` bounds how long a
    read waits for a replica to catch up before it is sent to the primary. The first
    matching rule applies.
    """

    name: Name = setting(doc="Name of the rule.")
    pattern: Name = setting(
        doc="Regular expression, searched for in the statement regardless of case."
    )
    max_age_s: Seconds | None = setting(
        None,
        "Largest age of data that its reads accept; null: only the session's own "
        "writes are required.",
    )
    replica_wait_s: Seconds = setting(
        0.2, "Time that its reads wait for a replica to catch up; 0: they do not wait."
    )
    idempotent: bool = setting(False, "Whether a matching request may run twice.")
    priority: Priority = setting(
        Priority.NORMAL,
        "Priority for shedding; background is shed first, critical last.",
    )


@dataclasses.dataclass(frozen=True, slots=True)
class BusinessConfig:
    """Set the limits of one business on a service's targets.

    `share` is the guaranteed share of connections and slots, from 0 to 1;
    `retry_ratio` is the number of retries allowed per success; `queue_limit` is the
    number of requests that may wait at one proxy.
    """

    name: Name = setting(doc="Name of the business.")
    share: Share = setting(
        1.0, "Share of slots and connections guaranteed to the business."
    )
    retry_ratio: Share = setting(0.1, "Retries allowed for each success.")
    queue_limit: Count = setting(200, "Requests that may wait at one proxy.")


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceConfig:
    """Describe a service: its group of targets, accounts and request rules.

    `revision` is the version of the service's object in the object store.
    `read_functions` are the functions, in lower case, that reads may call.
    """

    name: Name = setting(doc="Name of the service, which callers give as the database.")
    revision: int = setting(
        doc="Version of the service's object in the object store.", internal=True
    )
    database: Name = setting(doc="Name of the database on the targets.")
    targets: t.Annotated[tuple[TargetConfig, ...], NotEmpty()] = setting(
        doc="Targets of the database group."
    )
    accounts: tuple[AccountConfig, ...] = setting(
        (), "Accounts that callers log in with."
    )
    businesses: tuple[BusinessConfig, ...] = setting(
        (), "Businesses that share the service."
    )
    rules: tuple[RequestRule, ...] = setting(
        (), "Rules for requests; the first that matches applies."
    )
    read_functions: tuple[str, ...] = setting(
        (), "Functions that change no data, in lower case."
    )
    default_deadline_s: t.Annotated[float, Between(0.01, _MAX_DEADLINE_S)] = setting(
        5.0, "Deadline of a request that sets none."
    )
