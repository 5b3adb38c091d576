"""Number what a database group can answer."""

from rosemaryridge.codes._registry import define
from rosemaryridge.model import Outcome

NO_PRIMARY = define(
    3001,
    "no_primary",
    Outcome.NOT_RUN,
    "25006",
    "The group has no primary that is known to lead.",
    "Come back after the time in the hint; a promotion is under way.",
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
    "No majority was seen to hold the write before the deadline.",
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
    "Too few proxies could note what the session has written or will read.",
    "Look up the outcome by the request key, or carry the session's token.",
)
