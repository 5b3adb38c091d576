"""Cut a statement into tokens."""

import re

import sqlglot
from sqlglot.tokens import Token

# sqlglot takes `$1, $` for the start of a quoted text, so that the mark of a
# parameter is replaced, for its eyes only, by a letter that no statement uses.
PARAMETER_MARK = "\u01c2"
_PARAMETER = re.compile(r"(?<![\w$])\$(?=\d)")


def mark_parameters(text: str) -> str:
    """Return a text of the same length whose parameters sqlglot reads as names."""
    return _PARAMETER.sub(PARAMETER_MARK, text) if "$" in text else text


def tokenize(text: str) -> list[Token]:
    """Return the tokens of a text with its parameters marked; raise SqlglotError."""
    return sqlglot.tokenize(mark_parameters(text), dialect="postgres")
