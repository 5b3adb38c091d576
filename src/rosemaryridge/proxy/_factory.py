"""Admit callers and open their sessions."""

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.proxy._parts import Parts
from rosemaryridge.proxy._session import ProxySession
from rosemaryridge.wire import CallerConnection
from rosemaryridge.wire import CallerLogin
from rosemaryridge.wire import Verifier


class SessionFactory:
    """Map a login to its service, its account and a session."""

    def __init__(self, parts: Parts):
        self._parts = parts

    def check(self, login: CallerLogin) -> None:
        """Raise Refusal where the database is no service."""
        if login.replication:
            text = "replication connections are not supported"
            raise Refusal(codes.caller.UNSUPPORTED_FEATURE, text)
        self._parts.policy(login.database)

    def verifier(self, login: CallerLogin) -> Verifier | None:
        """Return the account's verifier; None where there is no such account."""
        account = self._parts.policy(login.database).accounts.get(login.user)
        return Verifier.parse(account.verifier) if account is not None else None

    def open(self, login: CallerLogin, connection: CallerConnection) -> ProxySession:
        """Return the session of a caller that has logged in."""
        account = self._parts.policy(login.database).accounts[login.user]
        return ProxySession(self._parts, login.database, account.business, login)

    def refused(self, login: CallerLogin, refusal: Refusal) -> None:
        """Count a refused login."""
        self._parts.metrics.refuse(refusal.code, login.database)
