"""Define the codes for failures of the platform's object API."""

from rosemaryridge.codes._registry import define
from rosemaryridge.model import Outcome

STORE_DOWN = define(
    6001,
    "store_down",
    Outcome.UNKNOWN,
    "58000",
    "The object API gave no answer.",
    "Read the object before repeating the change.",
)
STORE_LIMITED = define(
    6002,
    "store_limited",
    Outcome.NOT_RUN,
    "53400",
    "The call budget for the object API is spent.",
    "Retry after the time in the hint.",
)
