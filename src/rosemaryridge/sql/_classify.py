"""Classify statements; a READ is a statement that provably writes nothing."""

import logging
import re
import typing as t

import sqlglot
from sqlglot import exp
from sqlglot.dialects.postgres import Postgres
from sqlglot.tokens import Token
from sqlglot.tokens import TokenType

from rosemaryridge.sql._functions import GRAMMAR_WORDS
from rosemaryridge.sql._functions import PURE_FUNCTIONS
from rosemaryridge.sql._functions import SESSION_FUNCTIONS
from rosemaryridge.sql._statement import Statement
from rosemaryridge.sql._statement import StatementClass
from rosemaryridge.sql._tokens import mark_parameters
from rosemaryridge.sql._tokens import tokenize

logging.getLogger("sqlglot").setLevel(logging.ERROR)

Classifier = t.Callable[[str, list[Token]], Statement]
_CLASSIFIERS: dict[str, Classifier] = {}
_WRITE_NODES = (exp.Insert, exp.Update, exp.Delete, exp.Merge, exp.Command, exp.DDL)
_COMMAND_TOKEN_TYPES = Postgres.Tokenizer.COMMANDS
_UNQUOTED_NAME = re.compile(r"[A-Za-z_][A-Za-z0-9_$]*\Z")


def _register_classifier(*words: str) -> t.Callable[[Classifier], Classifier]:
    """Register a classifier of the statements that start with one of `words`."""

    def register(classifier: Classifier) -> Classifier:
        for word in words:
            _CLASSIFIERS[word] = classifier
        return classifier

    return register


def classify(text: str, tokens: list[Token]) -> Statement:
    """Classify one statement from its text and tokens."""
    if not tokens:
        return Statement(text, StatementClass.EMPTY)
    tokens = _expand_command(tokens)
    classifier = _CLASSIFIERS.get(tokens[0].text.lower(), _classify_write)
    return classifier(text, tokens)


def _expand_command(tokens: list[Token]) -> list[Token]:
    # After some first words, sqlglot returns the rest of the statement as one token.
    if tokens[0].token_type not in _COMMAND_TOKEN_TYPES or len(tokens) != 2:
        return tokens
    return [tokens[0], *tokenize(tokens[1].text)]


def _words(tokens: list[Token], start: int = 0) -> tuple[str, ...]:
    return tuple(token.text.lower() for token in tokens[start:])


def _classify_write(text: str, tokens: list[Token], reason: str = "") -> Statement:
    session = _called_session_functions(tokens)
    if session:
        return _unsupported(text, f"{min(session)}() changes the connection's state")
    return Statement(text, StatementClass.WRITE, reason=reason)


def _unsupported(text: str, reason: str) -> Statement:
    return Statement(text, StatementClass.UNSUPPORTED, reason=reason)


@_register_classifier("select", "with", "values", "table", "(")
def _query(text: str, tokens: list[Token]) -> Statement:
    if _words(tokens) == ("select", "pg_advisory_unlock_all", "(", ")"):
        return Statement(text, StatementClass.DISCARD, name="advisory_locks")
    try:
        tree = sqlglot.parse_one(mark_parameters(text), dialect="postgres")
    except (sqlglot.errors.SqlglotError, RecursionError):
        return _classify_write(text, tokens, "the statement cannot be parsed")
    reason = _write_reason(tree)
    if reason:
        return _classify_write(text, tokens, reason)
    if _called_session_functions(tokens):
        return _classify_write(text, tokens)
    unknown = frozenset(
        name for name in _called_functions(tokens) if not _is_pure(name)
    )
    return Statement(text, StatementClass.READ, functions=unknown)


def _write_reason(tree: exp.Expression) -> str:
    if not isinstance(tree, exp.Query | exp.Values | exp.Table):
        return "the statement is not a query"
    if tree.find(*_WRITE_NODES) is not None:
        return "the query contains a statement that writes"
    if tree.find(exp.Lock) is not None:
        return "the query locks rows"
    if tree.find(exp.Into) is not None:
        return "the query creates a table"
    return ""


def _called_functions(tokens: list[Token]) -> t.Iterator[str]:
    """Yield the name of each function call: a name before an opening parenthesis."""
    for index, token in enumerate(tokens[:-1]):
        if tokens[index + 1].token_type is not TokenType.L_PAREN:
            continue
        quoted = token.token_type is TokenType.IDENTIFIER
        if not quoted and not _UNQUOTED_NAME.match(token.text):
            continue
        name = token.text if quoted else token.text.lower()
        qualified = index > 1 and tokens[index - 1].token_type is TokenType.DOT
        if qualified:
            yield f"{tokens[index - 2].text.lower()}.{name}"
        elif quoted or name not in GRAMMAR_WORDS:
            yield name


def _is_pure(name: str) -> bool:
    return name.removeprefix("pg_catalog.") in PURE_FUNCTIONS


def _called_session_functions(tokens: list[Token]) -> set[str]:
    called = {name.removeprefix("pg_catalog.") for name in _called_functions(tokens)}
    return called & SESSION_FUNCTIONS


@_register_classifier("explain")
def _explain(text: str, tokens: list[Token]) -> Statement:
    words = _words(tokens, 1)
    if "analyze" in words or "analyse" in words:
        return _classify_write(text, tokens, "EXPLAIN ANALYZE runs the statement")
    return Statement(text, StatementClass.READ)


@_register_classifier("begin", "start")
def _begin(text: str, tokens: list[Token]) -> Statement:
    read_only = _declares_read_only(_words(tokens))
    return Statement(text, StatementClass.BEGIN, read_only=read_only)


def _declares_read_only(words: tuple[str, ...]) -> bool:
    pairs = set(zip(words, words[1:], strict=False))
    return ("read", "only") in pairs


@_register_classifier("commit", "end")
def _commit(text: str, tokens: list[Token]) -> Statement:
    words = _words(tokens)
    if "prepared" in words:
        return _unsupported(text, "two-phase commit is not supported")
    chain = "chain" in words and "no" not in words
    return Statement(text, StatementClass.COMMIT, chain=chain)


@_register_classifier("rollback", "abort")
def _rollback(text: str, tokens: list[Token]) -> Statement:
    words = _words(tokens)
    if "prepared" in words:
        return _unsupported(text, "two-phase commit is not supported")
    if "to" in words:
        return _savepoint_statement(text, tokens, "rollback")
    chain = "chain" in words and "no" not in words
    return Statement(text, StatementClass.ROLLBACK, chain=chain)


@_register_classifier("savepoint", "release")
def _savepoint(text: str, tokens: list[Token]) -> Statement:
    return _savepoint_statement(text, tokens, tokens[0].text.lower())


def _savepoint_statement(text: str, tokens: list[Token], name: str) -> Statement:
    value = tokens[-1].text.lower()
    return Statement(text, StatementClass.SAVEPOINT, name=name, value=value)


_SET = re.compile(
    r"""\s*set\s+(?:(?P<scope>session|local)\s+)?
    (?P<name>time\s+zone|[\w.]+|"[^"]+")\s*
    (?:=|\bto\b|(?<=zone))\s*(?P<value>.*?)\s*;?\s*\Z""",
    re.IGNORECASE | re.VERBOSE | re.DOTALL,
)


@_register_classifier("set")
def _set(text: str, tokens: list[Token]) -> Statement:
    words = _words(tokens, 1)
    if words[:1] == ("transaction",):
        read_only = _declares_read_only(words)
        return Statement(
            text,
            StatementClass.SET,
            name="transaction",
            read_only=read_only,
            local=True,
        )
    match = _SET.match(_without_comments(text, tokens))
    if match is None:
        return _unsupported(
            text, "unsupported SET; use SET [SESSION | LOCAL] name = value"
        )
    name = match["name"].strip('"').lower()
    local = (match["scope"] or "").lower() == "local"
    name = "timezone" if name.startswith("time ") else name
    return Statement(
        text, StatementClass.SET, name=name, value=match["value"], local=local
    )


def _without_comments(text: str, tokens: list[Token]) -> str:
    return text[tokens[0].start : tokens[-1].end + 1]


@_register_classifier("reset")
def _reset(text: str, tokens: list[Token]) -> Statement:
    return Statement(text, StatementClass.RESET, name="".join(_words(tokens, 1)))


@_register_classifier("show")
def _show(text: str, tokens: list[Token]) -> Statement:
    name = "".join(_words(tokens, 1)).strip('"')
    return Statement(text, StatementClass.SHOW, name=name)


@_register_classifier("discard")
def _discard(text: str, tokens: list[Token]) -> Statement:
    return Statement(text, StatementClass.DISCARD, name="".join(_words(tokens, 1)))


@_register_classifier("declare")
def _declare(text: str, tokens: list[Token]) -> Statement:
    words = _words(tokens)
    if "hold" in words and "without" not in words:
        return _unsupported(text, "a cursor WITH HOLD outlives its transaction")
    return Statement(text, StatementClass.CURSOR)


@_register_classifier("fetch", "move", "close")
def _cursor(text: str, tokens: list[Token]) -> Statement:
    return Statement(text, StatementClass.CURSOR)


@_register_classifier("copy")
def _copy(text: str, tokens: list[Token]) -> Statement:
    return _unsupported(text, "COPY is not supported")


@_register_classifier("listen", "unlisten", "notify")
def _listen(text: str, tokens: list[Token]) -> Statement:
    if _words(tokens) == ("unlisten", "*"):
        return Statement(text, StatementClass.DISCARD, name="listen")
    return _unsupported(text, f"{tokens[0].text.upper()} is not supported")


@_register_classifier("prepare", "execute", "deallocate")
def _prepare(text: str, tokens: list[Token]) -> Statement:
    words = _words(tokens, 1)
    if words[:1] == ("transaction",):
        return _unsupported(text, "two-phase commit is not supported")
    if tokens[0].text.lower() == "deallocate" and words[-1:] == ("all",):
        return Statement(text, StatementClass.DISCARD, name="plans")
    reason = "SQL PREPARE is not supported; use protocol-level prepared statements"
    return _unsupported(text, reason)


@_register_classifier("load")
def _load(text: str, tokens: list[Token]) -> Statement:
    return _unsupported(text, "LOAD changes the connection's state")


@_register_classifier("create")
def _create(text: str, tokens: list[Token]) -> Statement:
    words = set(_words(tokens[:4]))
    if words & {"temp", "temporary"} and "drop" not in _words(tokens):
        reason = "a temporary table outlives its transaction; use ON COMMIT DROP"
        return _unsupported(text, reason)
    return _classify_write(text, tokens)
