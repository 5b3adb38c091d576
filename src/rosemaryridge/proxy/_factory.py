"""Check the logins of callers and open their sessions."""

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.proxy._context import ProxyContext
from rosemaryridge.proxy._session import ProxySession
from rosemaryridge.wire import CallerConnection
from rosemaryridge.wire import CallerLogin
from rosemaryridge.wire import Verifier


class SessionFactory:
    """Create sessions for logins to the configured services."""

    def __init__(self, ctx: ProxyContext):
        self._ctx = ctx

    def check(self, login: CallerLogin) -> None:
        """Raise Refusal if the login is for replication or an unknown service."""
        if login.replication:
            text = "replication connections are not supported"
            raise Refusal(codes.caller.UNSUPPORTED_FEATURE, text)
        self._ctx.policy(login.database)

    def verifier(self, login: CallerLogin) -> Verifier | None:
        """Return the password verifier of the account; None if there is no account."""
        account = self._ctx.policy(login.database).accounts.get(login.user)
        return Verifier.parse(account.verifier) if account is not None else None

    def open(self, login: CallerLogin, connection: CallerConnection) -> ProxySession:
        """Return the session of a caller that has logged in."""
        account = self._ctx.policy(login.database).accounts[login.user]
        return ProxySession(self._ctx, login.database, account.business, login)

    def refused(self, login: CallerLogin, refusal: Refusal) -> None:
        """Count a refused login."""
        self._ctx.metrics.refuse(refusal.code, login.database)
