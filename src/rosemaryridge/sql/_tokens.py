"""Tokenize statements that contain parameters."""

import re

import sqlglot
from sqlglot.tokens import Token

# sqlglot parses `$1, $` as the start of a dollar-quoted string. The `$` of each
# parameter is therefore replaced, before sqlglot parses the text, by a letter that
# statements do not use.
PARAMETER_MARK = "\u01c2"
_PARAMETER = re.compile(r"(?<![\w$])\$(?=\d)")


def mark_parameters(text: str) -> str:
    """Replace the `$` of parameters, so that sqlglot parses them as names.

    The text keeps its length, so that token offsets apply to the original.
    """
    return _PARAMETER.sub(PARAMETER_MARK, text) if "$" in text else text


def tokenize(text: str) -> list[Token]:
    """Return the tokens of a text with marked parameters; raise SqlglotError."""
    return sqlglot.tokenize(mark_parameters(text), dialect="postgres")
