"""Define the codes for the outcome of a request."""

from rosemaryridge.codes._registry import define
from rosemaryridge.model import Outcome

CONNECTION_LOST_NOT_SENT = define(
    4001,
    "connection_lost_not_sent",
    Outcome.NOT_RUN,
    "08006",
    "The connection to the target was lost before the request was sent.",
    "Send the request again.",
)
CONNECTION_LOST = define(
    4002,
    "connection_lost",
    Outcome.UNKNOWN,
    "08007",
    "The connection to the target was lost after the request was sent.",
    "Look up the outcome by the request key.",
)
READ_FAILED = define(
    4003,
    "read_failed",
    Outcome.NOT_RUN,
    "08006",
    "A read failed and changed nothing.",
    "Send the request again.",
)
DEADLINE_PASSED = define(
    4004,
    "deadline_passed",
    Outcome.UNKNOWN,
    "57014",
    "The deadline passed after the request was sent.",
    "Look up the outcome by the request key.",
)
KEY_ALREADY_RUN = define(
    4005,
    "key_already_run",
    Outcome.DONE,
    "00000",
    "A request with this key ran before; its first outcome is returned.",
    "No action is needed.",
)
TRANSACTION_LOST = define(
    4006,
    "transaction_lost",
    Outcome.NOT_RUN,
    "40001",
    "The transaction's connection was lost before COMMIT was sent.",
    "Run the transaction again.",
)
READ_DEADLINE = define(
    4007,
    "read_deadline",
    Outcome.NOT_RUN,
    "57014",
    "The deadline of a read passed; it changed nothing.",
    "Raise the deadline or retry later.",
)
KEY_NOT_RUN = define(
    4008,
    "key_not_run",
    Outcome.NOT_RUN,
    "55000",
    "The request key was looked up and closed before the request arrived.",
    "Send the request again with a new key.",
)
KEY_MISMATCH = define(
    4009,
    "key_mismatch",
    Outcome.NOT_RUN,
    "22023",
    "The request key belongs to another statement or other parameters.",
    "Use a separate key for each request.",
)
KEY_RUN_WITHOUT_ANSWER = define(
    4010,
    "key_run_without_answer",
    Outcome.DONE,
    "55000",
    "A request with this key ran before; its answer is not stored.",
    "No action is needed; do not send the request again.",
)
CANCELED_NOT_SENT = define(
    4011,
    "canceled_not_sent",
    Outcome.NOT_RUN,
    "57014",
    "The caller cancelled the statement before it was sent.",
    "No action is needed.",
)
