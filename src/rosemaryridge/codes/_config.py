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
