"""Infer the types of parameters and columns on the wire."""

import sqlglot
from pg_mimic import ResultColumn
from pg_mimic import types as oids
from sqlglot import exp
from sqlglot.optimizer.annotate_types import annotate_types
from sqlglot.optimizer.qualify import qualify

Schema = dict[str, dict[str, str]]

_OIDS = {
    exp.DataType.Type.BOOLEAN: oids.BOOL,
    exp.DataType.Type.BIGINT: oids.INT8,
    exp.DataType.Type.BIGSERIAL: oids.INT8,
    exp.DataType.Type.INT: oids.INT4,
    exp.DataType.Type.SERIAL: oids.INT4,
    exp.DataType.Type.SMALLINT: oids.INT2,
    exp.DataType.Type.FLOAT: oids.FLOAT4,
    exp.DataType.Type.DOUBLE: oids.FLOAT8,
    exp.DataType.Type.DECIMAL: oids.NUMERIC,
    exp.DataType.Type.TIMESTAMP: oids.TIMESTAMP,
    exp.DataType.Type.TIMESTAMPTZ: oids.TIMESTAMPTZ,
    exp.DataType.Type.DATE: oids.DATE,
    exp.DataType.Type.VARBINARY: oids.BYTEA,
    exp.DataType.Type.UUID: oids.UUID,
    exp.DataType.Type.JSON: oids.JSON,
    exp.DataType.Type.JSONB: oids.JSONB,
    exp.DataType.Type.VARCHAR: oids.VARCHAR,
}


def oid_of(kind: exp.DataType | None) -> int:
    """Return the type's OID, the one of text for an unknown type."""
    if kind is None:
        return oids.TEXT
    if kind.this == exp.DataType.Type.ARRAY:
        return oids.TEXT
    return _OIDS.get(kind.this, oids.TEXT)


def _column_oid(schema: Schema, table: str, column: str) -> int:
    kind = schema.get(table.lower(), {}).get(column.lower())
    return oid_of(exp.DataType.build(kind, dialect="postgres")) if kind else oids.TEXT


def columns_of(tree: exp.Expression, schema: Schema) -> tuple[ResultColumn, ...] | None:
    """Return the columns of a statement's result, or None if it has no rows."""
    if isinstance(tree, exp.Query):
        return _query_columns(tree, schema)
    returning = tree.args.get("returning")
    if returning is None:
        return None
    table = tree.find(exp.Table).name
    columns: list[ResultColumn] = []
    for item in returning.expressions:
        if isinstance(item, exp.Star):
            names = schema.get(table.lower(), {})
        else:
            names = {item.alias_or_name or "?column?": ""}
        for name in names:
            column = item.this.name if isinstance(item, exp.Alias) else name
            columns.append(ResultColumn(name, _column_oid(schema, table, column)))
    return tuple(columns)


def _query_columns(tree: exp.Query, schema: Schema) -> tuple[ResultColumn, ...]:
    typed = _with_column_names(tree)
    try:
        typed = qualify(
            typed,
            schema=schema,
            dialect="postgres",
            validate_qualify_columns=False,
            quote_identifiers=False,
        )
        typed = annotate_types(typed, schema=schema, dialect="postgres")
    except sqlglot.errors.SqlglotError:
        typed = tree
    series = tree.find(exp.ExplodingGenerateSeries) is not None
    columns = []
    for select in typed.selects:
        unknown = select.type is None or select.type.this == exp.DataType.Type.UNKNOWN
        oid = oids.INT4 if series and unknown else oid_of(select.type)
        columns.append(ResultColumn(select.alias_or_name, oid))
    return tuple(columns)


def _with_column_names(tree: exp.Query) -> exp.Query:
    copy = tree.copy()
    for select in copy.selects:
        if not select.is_star and not isinstance(select, exp.Column | exp.Alias):
            select.replace(
                exp.alias_(select.copy(), _function_name(select), quoted=True)
            )
    return copy


def _function_name(select: exp.Expression) -> str:
    if isinstance(select, exp.Anonymous):
        return select.name.lower()
    return select.sql_name().lower() if isinstance(select, exp.Func) else "?column?"


def param_oids(tree: exp.Expression, schema: Schema) -> tuple[int, ...]:
    """Return the type OID of each parameter, in order of number."""
    found: dict[int, int] = {}
    for node in tree.find_all(exp.Placeholder):
        index = int(str(node.this)[1:])
        oid = _param_oid(node, tree, schema)
        if found.get(index, oids.TEXT) == oids.TEXT:
            found[index] = oid
    return tuple(found.get(i, oids.TEXT) for i in range(1, max(found, default=0) + 1))


def _param_oid(node: exp.Placeholder, tree: exp.Expression, schema: Schema) -> int:
    parent = node.parent
    if isinstance(parent, exp.Cast):
        return oid_of(parent.to)
    if isinstance(parent, exp.ExplodingGenerateSeries):
        return oids.INT4
    if isinstance(parent, exp.Limit | exp.Offset):
        return oids.INT8
    if isinstance(parent, exp.Anonymous) and parent.name.lower() == "pg_sleep":
        return oids.FLOAT8
    insert = node.find_ancestor(exp.Insert)
    if isinstance(parent, exp.Tuple) and insert is not None:
        return _inserted_oid(parent.expressions.index(node), insert, schema)
    tables = [table.name for table in tree.find_all(exp.Table)]
    siblings = parent.find_all(exp.Column) if parent is not None else ()
    for column in siblings:
        for table in tables:
            if column.name.lower() in schema.get(table.lower(), {}):
                return _column_oid(schema, table, column.name)
    numeric = parent is not None and isinstance(parent, exp.Binary)
    if numeric and any(not lit.is_string for lit in parent.find_all(exp.Literal)):
        return oids.INT8
    if isinstance(parent, exp.LT | exp.LTE | exp.GT | exp.GTE):
        return oids.INT8
    return oids.TEXT


def _inserted_oid(index: int, insert: exp.Insert, schema: Schema) -> int:
    target = insert.this
    table = target.find(exp.Table).name
    if isinstance(target, exp.Schema):
        names = [column.name for column in target.expressions]
    else:
        names = list(schema.get(table.lower(), {}))
    return _column_oid(schema, table, names[index]) if index < len(names) else oids.TEXT
