"""Split texts into classified statements and cache them by text."""

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

_LEADING_COMMENT = re.compile(
    r"\s*(?:/\*(?P<block>.*?)\*/|--(?P<line>[^\n]*)(?:\n|\Z))", re.DOTALL
)
_SETTING = re.compile(
    r"""rosemaryridge\.(?P<name>[a-z_]+)\s*=\s*
    (?:'(?P<quoted>(?:[^']|'')*)'|(?P<plain>[^\s,;*]+))""",
    re.IGNORECASE | re.VERBOSE,
)

Settings = tuple[tuple[str, str], ...]


def split_leading_settings(text: str) -> tuple[Settings, str]:
    """Return the settings in the leading comments of a text, and the text after them.

    Without any settings the text is returned unchanged, with its comments.
    """
    if not text.lstrip().startswith(("/*", "--")) or "rosemaryridge." not in text:
        return (), text
    settings: list[tuple[str, str]] = []
    end = 0
    while (match := _LEADING_COMMENT.match(text, end)) is not None:
        end = match.end()
        settings.extend(_parse_settings(match["block"] or match["line"] or ""))
    return (tuple(settings), text[end:]) if settings else ((), text)


def _parse_settings(comment: str) -> list[tuple[str, str]]:
    settings = []
    for match in _SETTING.finditer(comment):
        quoted = match["quoted"]
        value = match["plain"] if quoted is None else quoted.replace("''", "'")
        settings.append((match["name"].lower(), value))
    return settings


def parse_statements(text: str) -> tuple[Statement, ...]:
    """Split a text into statements and classify each; skip empty statements."""
    try:
        tokens = tokenize(text)
    except (sqlglot.errors.SqlglotError, RecursionError):
        reason = "the statement cannot be parsed"
        return (Statement(text, StatementClass.WRITE, reason=reason),)
    parts = _split_at_semicolons(text, tokens)
    if len(parts) == 1:
        return (classify(text, parts[0].tokens),)
    # Classifiers expect tokens whose offsets are those of the statement's own text.
    return tuple(classify(part.text, tokenize(part.text)) for part in parts)


@dataclasses.dataclass(slots=True)
class _StatementText:
    text: str
    tokens: list[Token]


def _split_at_semicolons(text: str, tokens: list[Token]) -> list[_StatementText]:
    """Split a text at each semicolon outside BEGIN ATOMIC ... END."""
    parts: list[_StatementText] = []
    current: list[Token] = []
    start = depth = 0
    for token in tokens:
        if token.token_type is TokenType.SEMICOLON and depth == 0:
            parts.append(_StatementText(text[start : token.start], current))
            current, start = [], token.end + 1
            continue
        depth += _depth_change(token, current, depth)
        current.append(token)
    parts.append(_StatementText(text[start:], current))
    return [part for part in parts if part.tokens]


def _depth_change(token: Token, preceding: list[Token], depth: int) -> int:
    word = token.text.lower()
    if word == "atomic" and preceding and preceding[-1].text.lower() == "begin":
        return 1
    # CASE inside BEGIN ATOMIC also ends with END, so it opens a nested level.
    if depth and word in ("case", "end"):
        return 1 if word == "case" else -1
    return 0


class StatementCache:
    """Classify statements, with an LRU cache of `size` texts.

    Texts longer than `max_text_chars` characters are not cached.
    """

    def __init__(self, size: int, max_text_chars: int = 32_768):
        self._size = size
        self._max_text_chars = max_text_chars
        self._entries: collections.OrderedDict[str, tuple[Statement, ...]] = (
            collections.OrderedDict()
        )
        self.hits = 0
        self.misses = 0

    def parse(self, text: str) -> tuple[Statement, ...]:
        """Return the classified statements of a text; empty if it has none."""
        statements = self._entries.get(text)
        if statements is not None:
            self._entries.move_to_end(text)
            self.hits += 1
            return statements
        self.misses += 1
        statements = parse_statements(text)
        if len(text) <= self._max_text_chars:
            self._entries[text] = statements
            if len(self._entries) > self._size:
                self._entries.popitem(last=False)
        return statements
