"""Number what a request can be refused for by limits and routing."""

from rosemaryridge.codes._registry import define
from rosemaryridge.model import Outcome

QUEUE_FULL = define(
    2001,
    "queue_full",
    Outcome.NOT_RUN,
    "53400",
    "The queue of this business for the target is full.",
    "Come back after the time in the hint.",
)
DEADLINE_IN_QUEUE = define(
    2002,
    "deadline_in_queue",
    Outcome.NOT_RUN,
    "57014",
    "The deadline passed before the request was sent.",
    "Raise the deadline or come back later.",
)
SHED = define(
    2003,
    "shed",
    Outcome.NOT_RUN,
    "53400",
    "A more urgent request took the place of this one.",
    "Come back after the time in the hint.",
)
NO_TARGET = define(
    2004,
    "no_target",
    Outcome.NOT_RUN,
    "08001",
    "No target can take the request now.",
    "Come back after the time in the hint.",
)
RETRY_BUDGET_SPENT = define(
    2005,
    "retry_budget_spent",
    Outcome.NOT_RUN,
    "53400",
    "The retry budget of this business is spent.",
    "Come back after the time in the hint.",
)
