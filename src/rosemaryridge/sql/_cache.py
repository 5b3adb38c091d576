"""Keep the classes of the statements seen last, by their text."""

import collections
import dataclasses
import re

import sqlglot
from sqlglot.tokens import Token
from sqlglot.tokens import TokenType

from rosemaryridge.sql._classify import classify
from rosemaryridge.sql._statement import Statement
from rosemaryridge.sql._statement import StatementClass
from rosemaryridge.sql._tokens import tokenize

_LEADING = re.compile(
    r"\s*(?:/\*(?P<block>.*?)\*/|--(?P<line>[^\n]*)(?:\n|\Z))", re.DOTALL
)
_SETTING = re.compile(
    r"""rosemaryridge\.(?P<name>[a-z_]+)\s*=\s*
    (?:'(?P<quoted>(?:[^']|'')*)'|(?P<plain>[^\s,;*]+))""",
    re.IGNORECASE | re.VERBOSE,
)

Settings = tuple[tuple[str, str], ...]


def split_leading_settings(text: str) -> tuple[Settings, str]:
    """Return the settings in the comments before a statement, and the statement.

    Comments without settings stay part of the statement.
    """
    if not text.lstrip().startswith(("/*", "--")) or "rosemaryridge." not in text:
        return (), text
    settings: list[tuple[str, str]] = []
    end = 0
    while (match := _LEADING.match(text, end)) is not None:
        end = match.end()
        settings.extend(_settings(match["block"] or match["line"] or ""))
    return (tuple(settings), text[end:]) if settings else ((), text)


def _settings(comment: str) -> list[tuple[str, str]]:
    found = []
    for match in _SETTING.finditer(comment):
        quoted = match["quoted"]
        value = match["plain"] if quoted is None else quoted.replace("''", "'")
        found.append((match["name"].lower(), value))
    return found


def parse_statements(text: str) -> tuple[Statement, ...]:
    """Split a text into its statements and classify each; empty ones are left out."""
    try:
        tokens = tokenize(text)
    except (sqlglot.errors.SqlglotError, RecursionError):
        reason = "it cannot be parsed"
        return (Statement(text, StatementClass.WRITE, reason=reason),)
    parts = _parts(text, tokens)
    if len(parts) == 1:
        return (classify(text, parts[0].tokens),)
    return tuple(classify(part.text, part.tokens) for part in parts)


@dataclasses.dataclass(slots=True)
class _Part:
    text: str
    tokens: list[Token]


def _parts(text: str, tokens: list[Token]) -> list[_Part]:
    """Part a text at each semicolon outside of a function's body."""
    parts: list[_Part] = []
    current: list[Token] = []
    start = depth = 0
    for token in tokens:
        if token.token_type is TokenType.SEMICOLON and depth == 0:
            parts.append(_Part(text[start : token.start], current))
            current, start = [], token.end + 1
            continue
        depth += _depth_change(token, current, depth)
        current.append(token)
    parts.append(_Part(text[start:], current))
    return [part for part in parts if part.tokens]


def _depth_change(token: Token, before: list[Token], depth: int) -> int:
    word = token.text.lower()
    if word == "atomic" and before and before[-1].text.lower() == "begin":
        return 1
    # A CASE inside such a body ends with END as well.
    if depth and word in ("case", "end"):
        return 1 if word == "case" else -1
    return 0


class StatementCache:
    """Classify statements, remembering the ones used last."""

    def __init__(self, size: int, max_text: int = 32_768):
        self._size = size
        self._max_text = max_text
        self._entries: collections.OrderedDict[str, tuple[Statement, ...]] = (
            collections.OrderedDict()
        )
        self.hits = 0
        self.misses = 0

    def statements(self, text: str) -> tuple[Statement, ...]:
        """Return the statements of a text; none where it is empty."""
        found = self._entries.get(text)
        if found is not None:
            self._entries.move_to_end(text)
            self.hits += 1
            return found
        self.misses += 1
        found = parse_statements(text)
        if len(text) <= self._max_text:
            self._entries[text] = found
            if len(self._entries) > self._size:
                self._entries.popitem(last=False)
        return found
