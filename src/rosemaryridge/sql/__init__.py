"""Split, classify and cache SQL statements."""

from rosemaryridge.sql._cache import StatementCache
from rosemaryridge.sql._cache import parse_statements
from rosemaryridge.sql._cache import split_leading_settings
from rosemaryridge.sql._parameters import cast_parameters
from rosemaryridge.sql._statement import Statement
from rosemaryridge.sql._statement import StatementClass

__all__ = [
    "Statement",
    "StatementCache",
    "StatementClass",
    "cast_parameters",
    "parse_statements",
    "split_leading_settings",
]
