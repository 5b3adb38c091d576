"""Define what proxies tell each other of sessions."""

import msgspec

from rosemaryridge.peer import PeerMessage


class SessionRecord(msgspec.Struct, frozen=True, array_like=True):
    """Pack what a session must see.

    `replica` names the one that the session reads from at a position not yet known.
    """

    service: str
    session: str
    term: int
    lsn: int
    replica: str = ""


class SessionPut(PeerMessage, frozen=True, array_like=True):
    """Ask a holder to keep a record."""

    record: SessionRecord


class SessionHandOver(PeerMessage, frozen=True, array_like=True):
    """Give records to a proxy that has become their holder."""

    records: tuple[SessionRecord, ...]


class SessionKept(PeerMessage, frozen=True, array_like=True):
    """Tell whether the record is kept by a proxy that holds the session."""

    kept: bool


class SessionGet(PeerMessage, frozen=True, array_like=True):
    """Ask a holder what a session must see."""

    service: str
    session: str


class SessionFound(PeerMessage, frozen=True, array_like=True):
    """Answer with a record, None where the holder may have missed one."""

    record: SessionRecord | None
