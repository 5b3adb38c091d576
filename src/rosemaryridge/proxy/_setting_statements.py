"""Handle the statements that set, show and reset settings."""

import typing as t

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.proxy._caller_state import CallerState
from rosemaryridge.proxy._query import Query
from rosemaryridge.request import PREFIX
from rosemaryridge.request import TOKEN
from rosemaryridge.request import RequestOptions
from rosemaryridge.request import show_option
from rosemaryridge.request import with_option
from rosemaryridge.request import without_option
from rosemaryridge.session import parse_token
from rosemaryridge.sql import StatementClass
from rosemaryridge.wire import Column
from rosemaryridge.wire import Completion
from rosemaryridge.wire import Description

if t.TYPE_CHECKING:
    from rosemaryridge.proxy._session import ProxySession

from rosemaryridge.proxy._local import LocalStatement
from rosemaryridge.proxy._local import handles

_TEXT_OID = 25
_VOID_OID = 2278
_NO_TRANSACTION = "25P01"


def _names(text: str) -> frozenset[str]:
    return frozenset(text.split())


# Settings that are applied to each target connection that the caller uses.
VARIABLES = _names(
    """
    bytea_output datestyle deadlock_timeout default_text_search_config
    extra_float_digits geqo idle_in_transaction_session_timeout intervalstyle
    lc_messages lc_monetary lc_numeric lc_time lock_timeout
    max_parallel_workers_per_gather plan_cache_mode search_path statement_timeout
    timezone work_mem xmloption
    """
)
# Settings that have no effect on a target; the proxy only stores them for SHOW.
_STORED_ONLY = ("application_name", "client_min_messages")
_REPORTED_PARAMETERS = {
    "application_name": "application_name",
    "datestyle": "DateStyle",
    "intervalstyle": "IntervalStyle",
    "timezone": "TimeZone",
}


def initial_state(service: str, business: str, login: t.Any) -> CallerState:
    """Return the initial state of a caller from its startup options; raise Refusal."""
    options = RequestOptions()
    state = CallerState(service, business)
    for name, value in login.options:
        name = name.lower()
        if name.startswith(PREFIX):
            options = with_option(options, name.removeprefix(PREFIX), value)
        elif name in VARIABLES and name != "extra_float_digits":
            state.variables[name] = _quote(value)
    state.options = state.initial_options = options
    _observe_token(state)
    return state


def _observe_token(state: CallerState) -> None:
    if not state.options.token:
        return
    try:
        token = parse_token(state.options.token)
    except ValueError as exc:
        raise Refusal(codes.caller.BAD_SETTING, f"{TOKEN} is invalid: {exc}") from exc
    state.session.observe(token.position)


def _quote(value: str) -> str:
    return "'" + value.replace("'", "''") + "'"


def _unquote(value: str) -> str:
    if len(value) >= 2 and value[0] == value[-1] == "'":
        return value[1:-1].replace("''", "'")
    return "" if value.lower() == "default" else value


@handles(StatementClass.SET)
class _Set(LocalStatement):
    def needs_target(self, session, query) -> bool:
        statement = query.statement
        if statement.name.startswith(PREFIX):
            return False
        return (
            statement.local
            and session.transaction is not None
            and _is_transaction_open(session)
        )

    async def run(self, session, query, answer) -> Completion:
        statement = query.statement
        name, value = statement.name, statement.value
        if name.startswith(PREFIX):
            option = name.removeprefix(PREFIX)
            self._set_option(session, option, _unquote(value), statement.local)
        elif statement.name == "transaction":
            self._set_transaction(session, query)
        elif statement.local:
            await self._set_local(session, query)
        else:
            await _set_variable(session, query, name, value)
        return Completion("SET")

    def _set_option(self, session, name: str, value: str, local: bool) -> None:
        transaction = session.transaction if local else None
        changed = with_option(session.options, name, value)
        if transaction is not None:
            transaction.local_options = changed
            return
        session.state.options = with_option(session.state.options, name, value)
        if name == "token":
            _observe_token(session.state)

    def _set_transaction(self, session, query) -> None:
        if session.transaction is None:
            message = "SET TRANSACTION can only be used in transaction blocks"
            session.notice("WARNING", _NO_TRANSACTION, message)
            return
        session.transaction.set_mode(query.text, query.statement.read_only)

    async def _set_local(self, session, query) -> None:
        if session.transaction is None:
            message = "SET LOCAL can only be used in transaction blocks"
            session.notice("WARNING", _NO_TRANSACTION, message)
            return
        await session.transaction.command(query.text, session.effective_options(query))


def _is_transaction_open(session: "ProxySession") -> bool:
    return session.transaction is not None and session.transaction.is_open


async def _set_variable(session, query: Query, name: str, value: str | None) -> None:
    if name == "client_encoding":
        _check_encoding(value)
        return
    if name not in VARIABLES and name not in _STORED_ONLY:
        message = f"{name} can only be set with SET LOCAL in a transaction"
        raise Refusal(codes.caller.UNSUPPORTED_FEATURE, message)
    if name in _STORED_ONLY:
        session.stored_settings[name] = _unquote(value or "")
    elif session.transaction is not None:
        await session.transaction.command(query.text, session.effective_options(query))
        session.transaction.pending_variables[name] = value
    elif value is None:
        session.state.variables.pop(name, None)
    else:
        session.state.variables[name] = value
    if name in _REPORTED_PARAMETERS and value is not None:
        session.connection.send_parameter(_REPORTED_PARAMETERS[name], _unquote(value))


def _check_encoding(value: str | None) -> None:
    text = _unquote(value or "utf8").lower().replace("-", "")
    if text not in ("utf8", "unicode", ""):
        raise Refusal(
            codes.caller.UNSUPPORTED_FEATURE,
            f"client_encoding cannot be {value}: only UTF8 is supported",
        )


@handles(StatementClass.RESET)
class _Reset(LocalStatement):
    async def run(self, session, query, answer) -> Completion:
        name = query.statement.name
        if name == "all":
            reset_all(session)
        elif name.startswith(PREFIX):
            state = session.state
            option = name.removeprefix(PREFIX)
            state.options = without_option(state.options, option)
        else:
            await _set_variable(session, query, name, None)
        return Completion("RESET")


def reset_all(session: "ProxySession") -> None:
    """Restore the initial options of a caller and clear its variables."""
    session.state.variables.clear()
    session.state.options = session.state.initial_options


@handles(StatementClass.DISCARD)
class _Discard(LocalStatement):
    def describe(self, session, query) -> Description:
        if query.statement.name == "advisory_locks":
            column = Column("pg_advisory_unlock_all", _VOID_OID)
            return Description((), (column,))
        return Description((), ())

    async def run(self, session, query, answer) -> Completion:
        subject = query.statement.name
        if subject == "advisory_locks":
            # The proxy does not let callers hold advisory locks, so that there are
            # none to release.
            answer.columns(self.describe(session, query).columns)
            await answer.rows(((b"",),))
            return Completion("SELECT 1")
        if subject == "listen":
            return Completion("UNLISTEN")
        if subject in ("all", "plans"):
            session.connection.statements.clear()
        if subject == "all":
            reset_all(session)
            return Completion("DISCARD ALL")
        if query.text.lower().startswith("deallocate"):
            return Completion("DEALLOCATE ALL")
        return Completion(f"DISCARD {subject.upper()}")


@handles(StatementClass.SHOW)
class _Show(LocalStatement):
    def needs_target(self, session, query) -> bool:
        name = query.statement.name
        if name.startswith(PREFIX) or name in session.stored_settings:
            return False
        return name not in session.state.variables

    def describe(self, session, query) -> Description:
        return Description((), (Column(query.statement.name, _TEXT_OID),))

    async def run(self, session, query, answer) -> Completion:
        value = await self._value(session, query)
        answer.columns(self.describe(session, query).columns)
        await answer.rows(((value.encode(),),))
        return Completion("SHOW")

    async def _value(self, session, query) -> str:
        name = query.statement.name
        if name in session.stored_settings:
            return session.stored_settings[name]
        if not name.startswith(PREFIX):
            return _unquote(session.state.variables[name])
        option = name.removeprefix(PREFIX)
        if option == "token":
            await session.selector.advance_position(session.effective_options(query))
            return session.state.session.token()
        if option == "outcome":
            return (await session.look_up_outcome(query)).value
        return show_option(session.options, option)
