"""Encode the PostgreSQL messages that are sent most often."""

import struct
import typing as t

from pg_mimic import messages

from rosemaryridge.wire._columns import Column

_LENGTH = struct.Struct("!i")
_ROW_HEADER = struct.Struct("!cih")
_NULL_LENGTH = _LENGTH.pack(-1)
_ENCODED_SHORT_LENGTHS = tuple(_LENGTH.pack(size) for size in range(256))


def data_row(values: t.Sequence[bytes | None]) -> bytes:
    """Return a DataRow message of encoded values; None is NULL."""
    parts = [b""]
    size = 6
    for value in values:
        if value is None:
            parts.append(_NULL_LENGTH)
            size += 4
            continue
        length = len(value)
        parts.append(
            _ENCODED_SHORT_LENGTHS[length] if length < 256 else _LENGTH.pack(length)
        )
        parts.append(value)
        size += 4 + length
    parts[0] = _ROW_HEADER.pack(messages.DATA_ROW, size, len(values))
    return b"".join(parts)


def row_description(columns: t.Sequence[Column], formats: t.Sequence[int]) -> bytes:
    """Return a RowDescription message; without `formats` all columns are text."""
    fields = [
        messages.FieldSpec(
            name=column.name,
            oid=column.oid,
            table_oid=column.table_oid,
            column_attnum=column.attribute,
            type_size=column.type_size,
            type_modifier=column.type_modifier,
            format_code=formats[index] if formats else 0,
        )
        for index, column in enumerate(columns)
    ]
    return messages.make_row_description(fields)


def parameter_description(oids: t.Sequence[int]) -> bytes:
    """Return a ParameterDescription message; OIDs are unsigned 32-bit integers."""
    payload = struct.pack(f"!h{len(oids)}I", len(oids), *oids)
    return b"t" + _LENGTH.pack(len(payload) + 4) + payload
