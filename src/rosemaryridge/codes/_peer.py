"""Define the codes for failures of peers."""

from rosemaryridge.codes._registry import define
from rosemaryridge.model import Outcome

PEER_DOWN = define(
    7001,
    "peer_down",
    Outcome.NOT_RUN,
    "08001",
    "A peer could not be reached or did not answer.",
    "No action is needed; the proxy continues without the peer.",
)
