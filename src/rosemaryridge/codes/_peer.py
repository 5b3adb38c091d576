"""Number what a peer can answer."""

from rosemaryridge.codes._registry import define
from rosemaryridge.model import Outcome

PEER_DOWN = define(
    7001,
    "peer_down",
    Outcome.NOT_RUN,
    "08001",
    "A peer could not be reached or did not answer.",
    "Nothing; the proxy goes on without it.",
)
