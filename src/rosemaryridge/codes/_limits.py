"""Define the codes for requests refused by limits and routing."""

from rosemaryridge.codes._registry import define
from rosemaryridge.model import Outcome

QUEUE_FULL = define(
    2001,
    "queue_full",
    Outcome.NOT_RUN,
    "53400",
    "The queue of this business for the target is full.",
    "Retry after the time in the hint.",
)
DEADLINE_IN_QUEUE = define(
    2002,
    "deadline_in_queue",
    Outcome.NOT_RUN,
    "57014",
    "The deadline passed before the request was sent.",
    "Raise the deadline or retry later.",
)
SHED = define(
    2003,
    "shed",
    Outcome.NOT_RUN,
    "53400",
    "The queue is full and a request of higher priority replaced this one.",
    "Retry after the time in the hint.",
)
NO_TARGET = define(
    2004,
    "no_target",
    Outcome.NOT_RUN,
    "08001",
    "No target can run the request at present.",
    "Retry after the time in the hint.",
)
RETRY_BUDGET_SPENT = define(
    2005,
    "retry_budget_spent",
    Outcome.NOT_RUN,
    "53400",
    "The retry budget of this business is spent.",
    "Retry after the time in the hint.",
)
