"""Define the messages about sessions that proxies send each other."""

import msgspec

from rosemaryridge.peer import PeerMessage


class SessionRecord(msgspec.Struct, frozen=True, array_like=True):
    """Encode the minimum position of a session's reads.

    `replica` names the replica from which the session reads at a position that is not
    known yet.
    """

    service: str
    session: str
    term: int
    lsn: int
    replica: str = ""


class SessionPut(PeerMessage, frozen=True, array_like=True):
    """Ask a holder to store a record."""

    record: SessionRecord


class SessionHandOver(PeerMessage, frozen=True, array_like=True):
    """Send records to a proxy that became their holder."""

    records: tuple[SessionRecord, ...]


class SessionKept(PeerMessage, frozen=True, array_like=True):
    """Answer whether the proxy that stored a record is a holder of the session."""

    kept: bool


class SessionGet(PeerMessage, frozen=True, array_like=True):
    """Ask a holder for a session's record."""

    service: str
    session: str


class SessionFound(PeerMessage, frozen=True, array_like=True):
    """Answer with a record, None if the holder may have missed one."""

    record: SessionRecord | None
