"""Define the codes for rejected configuration."""

from rosemaryridge.codes._registry import define
from rosemaryridge.model import Outcome

INVALID_FILE = define(
    5001,
    "invalid_file",
    Outcome.NOT_RUN,
    "F0000",
    "A settings or service file failed its checks.",
    "Correct each fault that is listed.",
)
REVISION_CONFLICT = define(
    5002,
    "revision_conflict",
    Outcome.NOT_RUN,
    "40001",
    "Another operator published a revision first.",
    "Read the changes of that revision, then publish again.",
)
REVISION_REJECTED = define(
    5003,
    "revision_rejected",
    Outcome.NOT_RUN,
    "F0000",
    "A published revision failed its checks; the revision in force stays.",
    "Publish a corrected revision.",
)
UNREADABLE_FIELD = define(
    5004,
    "unreadable_field",
    Outcome.NOT_RUN,
    "F0000",
    "A field is missing, or proxies cannot read it.",
    "Correct the field; a near miss is suggested.",
)
UNKNOWN_FIELD = define(
    5005,
    "unknown_field",
    Outcome.NOT_RUN,
    "F0000",
    "Proxies ignore a field.",
    "Remove it, or correct its name.",
)
VERSION_NOT_NEWER = define(
    5006,
    "version_not_newer",
    Outcome.NOT_RUN,
    "F0000",
    "The version is not above the one compared with.",
    "Raise the version: proxies never go back.",
)
DUPLICATE_ROUTE = define(
    5007,
    "duplicate_route",
    Outcome.NOT_RUN,
    "F0000",
    "Two routes have the same database; the last one holds.",
    "Remove one of them.",
)
ROUTE_WITHOUT_SERVICE = define(
    5008,
    "route_without_service",
    Outcome.NOT_RUN,
    "F0000",
    "A route names a service that is not there.",
    "Add the service or correct its name.",
)
UNUSED_SERVICE = define(
    5009,
    "unused_service",
    Outcome.NOT_RUN,
    "F0000",
    "No route names a service.",
    "Add a route, or remove the service.",
)
BUSINESS_WITHOUT_KEY = define(
    5010,
    "business_without_key",
    Outcome.NOT_RUN,
    "F0000",
    "A business has no key.",
    "Give it a key, or remove it.",
)
SHARED_KEY = define(
    5011,
    "shared_key",
    Outcome.NOT_RUN,
    "F0000",
    "Two businesses hold the same key; it serves neither.",
    "Give each a key of its own.",
)
BUSINESS_NAME = define(
    5012,
    "business_name",
    Outcome.NOT_RUN,
    "F0000",
    "A business name cannot be sent to targets, or is there twice.",
    "Choose a name without blanks that is there once.",
)
OPEN_ROUTE = define(
    5013,
    "open_route",
    Outcome.NOT_RUN,
    "F0000",
    "A route serves callers without a key, to whom no quota applies.",
    "Close the route, or allow this finding.",
)
NO_CALLERS = define(
    5014,
    "no_callers",
    Outcome.NOT_RUN,
    "F0000",
    "No caller can use a route, because no business has a key.",
    "Give a business a key.",
)
RETRIES_TOO_LONG = define(
    5015,
    "retries_too_long",
    Outcome.NOT_RUN,
    "F0000",
    "A repeat cannot end within the latency aimed at.",
    "Lower the time limit of a statement, or raise the aim.",
)
AGE_BELOW_LAG = define(
    5016,
    "age_below_lag",
    Outcome.NOT_RUN,
    "F0000",
    "The age bound of reads is below the usual lag of replicas.",
    "Raise the bound, or expect the primary to serve all reads.",
)
QUOTAS_BEYOND_SLOTS = define(
    5017,
    "quotas_beyond_slots",
    Outcome.NOT_RUN,
    "F0000",
    "The quotas sum to more than the targets can run.",
    "Lower quotas, or add targets.",
)
FEW_CONNECTIONS = define(
    5018,
    "few_connections",
    Outcome.NOT_RUN,
    "F0000",
    "A target accepts fewer connections than there are owners.",
    "Raise the limit, or expect connections to be opened again and again.",
)
SMALL_BURST = define(
    5019,
    "small_burst",
    Outcome.NOT_RUN,
    "F0000",
    "A burst is below one operation.",
    "Raise the burst to 1 or more.",
)
LONG_REST = define(
    5020,
    "long_rest",
    Outcome.NOT_RUN,
    "F0000",
    "A transaction may rest for longer than a stopping proxy waits.",
    "Lower the time, or raise the grace period.",
)
