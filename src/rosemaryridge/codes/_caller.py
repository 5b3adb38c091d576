"""Define the codes for refused connections and statements of callers."""

from rosemaryridge.codes._registry import define
from rosemaryridge.model import Outcome

UNKNOWN_SERVICE = define(
    1001,
    "unknown_service",
    Outcome.NOT_RUN,
    "3D000",
    "No service has the name given as the database.",
    "Check the database name against the published services.",
)
WRONG_ACCOUNT = define(
    1002,
    "wrong_account",
    Outcome.NOT_RUN,
    "28P01",
    "The user or password is not valid for the service.",
    "Check the user and password.",
)
STATEMENT_TOO_LARGE = define(
    1003,
    "statement_too_large",
    Outcome.NOT_RUN,
    "54000",
    "The statement is larger than the proxy accepts.",
    "Split the statement or raise callers.max_statement_bytes.",
)
UNSUPPORTED_FEATURE = define(
    1004,
    "unsupported_feature",
    Outcome.NOT_RUN,
    "0A000",
    "The proxy does not support this feature.",
    "Avoid the feature, or connect to a target directly.",
)
TOO_MANY_CALLERS = define(
    1005,
    "too_many_callers",
    Outcome.NOT_RUN,
    "53300",
    "The proxy has reached its limit of caller connections.",
    "Connect again after a pause; the load balancer may choose another proxy.",
)
SHUTTING_DOWN = define(
    1006,
    "shutting_down",
    Outcome.NOT_RUN,
    "57P01",
    "The proxy is shutting down.",
    "Connect again; another proxy will accept the connection.",
)
CANCELED = define(
    1007,
    "canceled",
    Outcome.UNKNOWN,
    "57014",
    "The caller cancelled the statement.",
    "Look up the outcome if the statement was a write.",
)
BAD_SETTING = define(
    1008,
    "bad_setting",
    Outcome.NOT_RUN,
    "22023",
    "A rosemaryridge setting has a value that is not allowed.",
    "Correct the value.",
)
