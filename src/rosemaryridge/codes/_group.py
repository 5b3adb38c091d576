"""Define the codes for the state of a database group."""

from rosemaryridge.codes._registry import define
from rosemaryridge.model import Outcome

NO_PRIMARY = define(
    3001,
    "no_primary",
    Outcome.NOT_RUN,
    "25006",
    "The group has no known primary.",
    "Retry after the time in the hint; a promotion is under way.",
)
FENCED = define(
    3002,
    "fenced",
    Outcome.NOT_RUN,
    "25006",
    "The target is fenced at a higher term and refused the write.",
    "Send the request again; it goes to the new primary.",
)
ACK_TIMEOUT = define(
    3003,
    "ack_timeout",
    Outcome.UNKNOWN,
    "40003",
    "The deadline passed before a majority was confirmed to hold the write.",
    "Look up the outcome by the request key.",
)
PRIMARY_REPLACED = define(
    3004,
    "primary_replaced",
    Outcome.UNKNOWN,
    "40003",
    "The primary was replaced before a majority held the write.",
    "Look up the outcome by the request key.",
)
SESSION_NOT_RECORDED = define(
    3005,
    "session_not_recorded",
    Outcome.UNKNOWN,
    "40003",
    "Too few proxies could record what the session has written or will read.",
    "Look up the outcome by the request key, or send the session's token.",
)
