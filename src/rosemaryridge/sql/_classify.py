"""Decide what a statement does, calling a read only what is proven one."""

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

Rule = t.Callable[[str, list[Token]], Statement]
_RULES: dict[str, Rule] = {}
_WRITING = (exp.Insert, exp.Update, exp.Delete, exp.Merge, exp.Command, exp.DDL)
_COMMANDS = Postgres.Tokenizer.COMMANDS
_WORD = re.compile(r"[A-Za-z_][A-Za-z0-9_$]*\Z")


def _rule(*words: str) -> t.Callable[[Rule], Rule]:
    """Register how statements that start with a word are classified."""

    def register(rule: Rule) -> Rule:
        for word in words:
            _RULES[word] = rule
        return rule

    return register


def classify(text: str, tokens: list[Token]) -> Statement:
    """Classify one statement from its text and tokens."""
    if not tokens:
        return Statement(text, StatementClass.EMPTY)
    tokens = _expand_command(tokens)
    rule = _RULES.get(tokens[0].text.lower(), _write)
    return rule(text, tokens)


def _expand_command(tokens: list[Token]) -> list[Token]:
    # sqlglot hands on what follows some first words as one uncut token.
    if tokens[0].token_type not in _COMMANDS or len(tokens) != 2:
        return tokens
    return [tokens[0], *tokenize(tokens[1].text)]


def _words(tokens: list[Token], start: int = 0) -> tuple[str, ...]:
    return tuple(token.text.lower() for token in tokens[start:])


def _write(text: str, tokens: list[Token], reason: str = "") -> Statement:
    session = _session_calls(tokens)
    if session:
        return _unsupported(text, f"{min(session)}() changes the connection's state")
    return Statement(text, StatementClass.WRITE, reason=reason)


def _unsupported(text: str, reason: str) -> Statement:
    return Statement(text, StatementClass.UNSUPPORTED, reason=reason)


@_rule("select", "with", "values", "table", "(")
def _query(text: str, tokens: list[Token]) -> Statement:
    if _words(tokens) == ("select", "pg_advisory_unlock_all", "(", ")"):
        return Statement(text, StatementClass.DISCARD, name="advisory_locks")
    try:
        tree = sqlglot.parse_one(mark_parameters(text), dialect="postgres")
    except (sqlglot.errors.SqlglotError, RecursionError):
        return _write(text, tokens, "it cannot be parsed")
    reason = _why_not_a_read(tree)
    if reason:
        return _write(text, tokens, reason)
    if _session_calls(tokens):
        return _write(text, tokens)
    unknown = frozenset(name for name in _calls(tokens) if not _is_pure(name))
    return Statement(text, StatementClass.READ, functions=unknown)


def _why_not_a_read(tree: exp.Expression) -> str:
    if not isinstance(tree, exp.Query | exp.Values | exp.Table):
        return "it is not a query"
    if tree.find(*_WRITING) is not None:
        return "it contains a statement that writes"
    if tree.find(exp.Lock) is not None:
        return "it locks rows"
    if tree.find(exp.Into) is not None:
        return "it creates a table"
    return ""


def _calls(tokens: list[Token]) -> t.Iterator[str]:
    """Yield each name that an opening parenthesis follows."""
    for index, token in enumerate(tokens[:-1]):
        if tokens[index + 1].token_type is not TokenType.L_PAREN:
            continue
        quoted = token.token_type is TokenType.IDENTIFIER
        if not quoted and not _WORD.match(token.text):
            continue
        name = token.text if quoted else token.text.lower()
        dotted = index > 1 and tokens[index - 1].token_type is TokenType.DOT
        if dotted:
            yield f"{tokens[index - 2].text.lower()}.{name}"
        elif quoted or name not in GRAMMAR_WORDS:
            yield name


def _is_pure(name: str) -> bool:
    return name.removeprefix("pg_catalog.") in PURE_FUNCTIONS


def _session_calls(tokens: list[Token]) -> set[str]:
    called = {name.removeprefix("pg_catalog.") for name in _calls(tokens)}
    return called & SESSION_FUNCTIONS


@_rule("explain")
def _explain(text: str, tokens: list[Token]) -> Statement:
    words = _words(tokens, 1)
    if "analyze" in words or "analyse" in words:
        return _write(text, tokens, "it runs what it explains")
    return Statement(text, StatementClass.READ)


@_rule("begin", "start")
def _begin(text: str, tokens: list[Token]) -> Statement:
    read_only = _declares_read_only(_words(tokens))
    return Statement(text, StatementClass.BEGIN, read_only=read_only)


def _declares_read_only(words: tuple[str, ...]) -> bool:
    pairs = set(zip(words, words[1:], strict=False))
    return ("read", "only") in pairs


@_rule("commit", "end")
def _commit(text: str, tokens: list[Token]) -> Statement:
    words = _words(tokens)
    if "prepared" in words:
        return _unsupported(text, "two-phase commit is not supported")
    chain = "chain" in words and "no" not in words
    return Statement(text, StatementClass.COMMIT, chain=chain)


@_rule("rollback", "abort")
def _rollback(text: str, tokens: list[Token]) -> Statement:
    words = _words(tokens)
    if "prepared" in words:
        return _unsupported(text, "two-phase commit is not supported")
    if "to" in words:
        return Statement(text, StatementClass.SAVEPOINT, name="rollback")
    chain = "chain" in words and "no" not in words
    return Statement(text, StatementClass.ROLLBACK, chain=chain)


@_rule("savepoint", "release")
def _savepoint(text: str, tokens: list[Token]) -> Statement:
    return Statement(text, StatementClass.SAVEPOINT, name=tokens[0].text.lower())


_SET = re.compile(
    r"""\s*set\s+(?:(?P<scope>session|local)\s+)?
    (?P<name>time\s+zone|[\w.]+|"[^"]+")\s*
    (?:=|\bto\b|(?<=zone))\s*(?P<value>.*?)\s*;?\s*\Z""",
    re.IGNORECASE | re.VERBOSE | re.DOTALL,
)


@_rule("set")
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
        return _unsupported(text, "this form of SET is not supported")
    name = match["name"].strip('"').lower()
    local = (match["scope"] or "").lower() == "local"
    name = "timezone" if name.startswith("time ") else name
    return Statement(
        text, StatementClass.SET, name=name, value=match["value"], local=local
    )


def _without_comments(text: str, tokens: list[Token]) -> str:
    return text[tokens[0].start : tokens[-1].end + 1]


@_rule("reset")
def _reset(text: str, tokens: list[Token]) -> Statement:
    return Statement(text, StatementClass.RESET, name="".join(_words(tokens, 1)))


@_rule("show")
def _show(text: str, tokens: list[Token]) -> Statement:
    name = "".join(_words(tokens, 1)).strip('"')
    return Statement(text, StatementClass.SHOW, name=name)


@_rule("discard")
def _discard(text: str, tokens: list[Token]) -> Statement:
    return Statement(text, StatementClass.DISCARD, name="".join(_words(tokens, 1)))


@_rule("declare")
def _declare(text: str, tokens: list[Token]) -> Statement:
    words = _words(tokens)
    if "hold" in words and "without" not in words:
        return _unsupported(text, "a cursor WITH HOLD outlives its transaction")
    return Statement(text, StatementClass.CURSOR)


@_rule("fetch", "move", "close")
def _cursor(text: str, tokens: list[Token]) -> Statement:
    return Statement(text, StatementClass.CURSOR)


@_rule("copy")
def _copy(text: str, tokens: list[Token]) -> Statement:
    return _unsupported(text, "COPY is not supported")


@_rule("listen", "unlisten", "notify")
def _listen(text: str, tokens: list[Token]) -> Statement:
    if _words(tokens) == ("unlisten", "*"):
        return Statement(text, StatementClass.DISCARD, name="listen")
    return _unsupported(text, f"{tokens[0].text.upper()} is not supported")


@_rule("prepare", "execute", "deallocate")
def _prepare(text: str, tokens: list[Token]) -> Statement:
    words = _words(tokens, 1)
    if words[:1] == ("transaction",):
        return _unsupported(text, "two-phase commit is not supported")
    if tokens[0].text.lower() == "deallocate" and words[-1:] == ("all",):
        return Statement(text, StatementClass.DISCARD, name="plans")
    reason = "PREPARE as SQL is not supported; use the protocol's own statements"
    return _unsupported(text, reason)


@_rule("load")
def _load(text: str, tokens: list[Token]) -> Statement:
    return _unsupported(text, "LOAD changes the connection's state")


@_rule("create")
def _create(text: str, tokens: list[Token]) -> Statement:
    words = set(_words(tokens[:4]))
    if words & {"temp", "temporary"} and "drop" not in _words(tokens):
        reason = "a temporary table outlives its transaction; use ON COMMIT DROP"
        return _unsupported(text, reason)
    return _write(text, tokens)
