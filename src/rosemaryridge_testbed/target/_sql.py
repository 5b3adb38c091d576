"""Translate PostgreSQL's SQL to SQLite's."""

import dataclasses
import enum
import re

import sqlglot
from pg_mimic import PgError
from pg_mimic import ResultColumn
from pg_mimic import types as oids
from sqlglot import exp

from rosemaryridge_testbed.target._types import Schema
from rosemaryridge_testbed.target._types import columns_of
from rosemaryridge_testbed.target._types import param_oids

# sqlglot parses `$1,$` as a dollar quote, so parameters are renamed.
_PARAM = re.compile(r"('(?:[^']|'')*'|\"[^\"]*\"|--[^\n]*|/\*.*?\*/)|\$(\d+)", re.S)
_STATEMENT = re.compile(r"(?:'(?:[^']|'')*'|\"[^\"]*\"|--[^\n]*|/\*.*?\*/|[^;])+", re.S)
_COMMENT = re.compile(r"\A(?:\s+|--[^\n]*(?:\n|\Z)|/\*.*?\*/)+", re.S)
_VERB = re.compile(
    r"\s*SELECT\s+.*\bFROM\s+rosemaryridge\.(\w+)\s*\((.*?)\)", re.I | re.S
)


# SQLite gives other type names numeric affinity: a cast would truncate a text to
# its leading number.
_SUPPORTED_CASTS = (
    *exp.DataType.INTEGER_TYPES,
    *exp.DataType.REAL_TYPES,
    *exp.DataType.TEXT_TYPES,
)


class Kind(enum.Enum):
    """Classify a statement by its effect on the connection or the data."""

    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SAVEPOINT = "savepoint"
    ROLLBACK_TO = "rollback to"
    RELEASE = "release"
    SET = "set"
    SHOW = "show"
    RESET = "reset"
    VERB = "verb"
    READ = "read"
    WRITE = "write"


@dataclasses.dataclass(frozen=True, slots=True)
class ParsedStatement:
    """Describe a statement ready to run; `args` depend on its kind."""

    kind: Kind
    tag: str
    text: str = ""
    args: tuple[str, ...] = ()
    params: tuple[int, ...] = ()
    columns: tuple[ResultColumn, ...] | None = None
    sleeps: bool = False


_NAME = r'"?([\w.]+)"?'
_CONTROL_PATTERNS = (
    (Kind.BEGIN, "BEGIN", r"BEGIN\b"),
    (Kind.BEGIN, "START TRANSACTION", r"START\s+TRANSACTION\b"),
    (Kind.COMMIT, "COMMIT", r"(?:COMMIT|END)\b"),
    (Kind.ROLLBACK_TO, "ROLLBACK", rf"ROLLBACK\s+TO\s+(?:SAVEPOINT\s+)?{_NAME}"),
    (Kind.ROLLBACK, "ROLLBACK", r"(?:ROLLBACK|ABORT)\b"),
    (Kind.SAVEPOINT, "SAVEPOINT", rf"SAVEPOINT\s+{_NAME}"),
    (Kind.RELEASE, "RELEASE", rf"RELEASE\s+(?:SAVEPOINT\s+)?{_NAME}"),
    (Kind.SET, "SET", rf"SET\s+(?:LOCAL\s+|SESSION\s+)?{_NAME}\s*(?:=|\bTO\b)\s*(.*)"),
    (Kind.SET, "SET", r"SET\s+(?:SESSION\s+CHARACTERISTICS|TRANSACTION)\b"),
    (Kind.SHOW, "SHOW", rf"SHOW\s+{_NAME}"),
    (Kind.RESET, "DISCARD ALL", r"DISCARD\s+ALL"),
    (Kind.RESET, "RESET", r"RESET\s+(\w+)"),
    (Kind.RESET, "CLOSE CURSOR ALL", r"CLOSE\s+ALL"),
    (Kind.RESET, "UNLISTEN", r"UNLISTEN\b"),
    (Kind.RESET, "DEALLOCATE", r"DEALLOCATE\b"),
)


_CONTROL_STATEMENTS = tuple(
    (kind, tag, re.compile(pattern, re.I | re.S))
    for kind, tag, pattern in _CONTROL_PATTERNS
)


def strip_comments(sql: str) -> str:
    """Remove leading comments and spaces."""
    return _COMMENT.sub("", sql)


def split_statements(sql: str) -> list[str]:
    """Split statements at semicolons outside quotes and comments."""
    return [text for text in _STATEMENT.findall(sql) if strip_comments(text).strip()]


def parse_control(sql: str) -> ParsedStatement | None:
    """Parse a connection control statement or a verb; return None for others."""
    body = strip_comments(sql).rstrip().rstrip(";")
    for kind, tag, pattern in _CONTROL_STATEMENTS:
        match = pattern.match(body)
        if match:
            return ParsedStatement(kind, tag, args=tuple(match.groups()))
    match = _VERB.match(body)
    if match:
        args = tuple(part.strip() for part in match[2].split(",") if part.strip())
        params = (oids.INT8, oids.TEXT)[: len(re.findall(r"\$\d", match[2]))]
        return ParsedStatement(
            Kind.VERB, "SELECT", args=(match[1].lower(), *args), params=params
        )
    return None


def parse(sql: str, schema: Schema) -> ParsedStatement:
    """Translate one statement; raise PgError for a syntax error."""
    renamed = _PARAM.sub(lambda m: m[1] or f":p{m[2]}", strip_comments(sql))
    try:
        tree = sqlglot.parse_one(renamed, read="postgres")
    except sqlglot.errors.SqlglotError as exc:
        raise PgError("42601", f"syntax error: {str(exc).splitlines()[0]}") from exc
    query = tree.find(exp.Query) if isinstance(tree, exp.Query) else None
    writes = query is None or _contains_write(tree)
    columns = columns_of(tree, schema)
    params = param_oids(tree, schema)
    sleeps = "pg_sleep" in sql.lower()
    keyword = re.match(r"\w+", renamed)
    tag = _tag(tree, keyword[0].upper() if keyword else "")
    text = _rewrite(tree).sql("postgres")
    kind = Kind.WRITE if writes else Kind.READ
    return ParsedStatement(kind, tag, text, (), params, columns, sleeps)


def _contains_write(tree: exp.Expression) -> bool:
    return tree.find(exp.Insert, exp.Update, exp.Delete) is not None


def _tag(tree: exp.Expression, keyword: str) -> str:
    if isinstance(tree, exp.Create | exp.Drop | exp.Alter):
        return f"{keyword} {tree.args.get('kind') or 'TABLE'}"
    if isinstance(tree, exp.TruncateTable):
        return "TRUNCATE TABLE"
    return "SELECT" if keyword == "WITH" else keyword


def _rewrite(tree: exp.Expression) -> exp.Expression:
    for query in tree.find_all(exp.Select):
        query.set("locks", None)
    return tree.transform(_rewrite_node)


def _rewrite_node(node: exp.Expression) -> exp.Expression:
    if isinstance(node, exp.Placeholder):
        return exp.Var(this=f":{node.this}")
    if isinstance(node, exp.CurrentTimestamp):
        return exp.Paren(this=exp.Anonymous(this="rr_now"))
    if isinstance(node, exp.TruncateTable):
        return exp.Delete(this=node.expressions[0])
    if isinstance(node, exp.ILike):
        return exp.Like(this=node.this, expression=node.expression)
    if isinstance(node, exp.Cast) and node.to.this not in _SUPPORTED_CASTS:
        return node.this.transform(_rewrite_node)
    if isinstance(node, exp.Table) and isinstance(node.this, exp.Func):
        return _rewrite_series(node)
    if isinstance(node, exp.ColumnDef):
        return _rewrite_column(node)
    return node


def _rewrite_series(node: exp.Table) -> exp.Expression:
    start, end = node.this.args.get("start"), node.this.args.get("end")
    if start is None or end is None:
        return node
    name = node.alias or "generate_series"
    text = (
        f"(WITH RECURSIVE g(n) AS (SELECT {start.sql()} UNION ALL"
        f" SELECT n + 1 FROM g WHERE n < {end.sql()}) SELECT n AS {name} FROM g) {name}"
    )
    return exp.Var(this=text)


def _rewrite_column(node: exp.ColumnDef) -> exp.ColumnDef:
    kind = node.args.get("kind")
    serial = kind is not None and "SERIAL" in kind.this.value.upper()
    identity = [
        item
        for item in node.constraints
        if isinstance(item.kind, exp.GeneratedAsIdentityColumnConstraint)
    ]
    if serial or identity:
        node.set("kind", exp.Var(this="INTEGER"))
        remaining = [item for item in node.constraints if item not in identity]
        node.set("constraints", remaining)
    return node
