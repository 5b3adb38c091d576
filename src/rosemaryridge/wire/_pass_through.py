"""Pass values through asyncpg as bytes, in the requested format."""

import dataclasses
import typing as t

import asyncpg
from asyncpg.protocol.protocol import BUILTIN_TYPE_OID_MAP

from rosemaryridge.wire._columns import BINARY_FORMAT
from rosemaryridge.wire._columns import TEXT_FORMAT
from rosemaryridge.wire._columns import Column
from rosemaryridge.wire._columns import formats_by_type

_FORMAT_NAMES = {TEXT_FORMAT: "text", BINARY_FORMAT: "binary"}
_ENCODERS = {TEXT_FORMAT: bytes.decode, BINARY_FORMAT: bytes}
_DECODERS = {TEXT_FORMAT: str.encode, BINARY_FORMAT: bytes}

# The default format code, and pairs of type OID and format code that override it.
Formats = tuple[int, frozenset[tuple[int, int]]]
_ALL_TEXT: Formats = (TEXT_FORMAT, frozenset())
_ALL_BINARY: Formats = (BINARY_FORMAT, frozenset())


def formats_of(columns: t.Sequence[Column], codes: t.Sequence[int]) -> Formats:
    """Return the formats for the result format codes of a Bind message.

    Raises Refusal if one type is requested in both formats.
    """
    if not codes:
        return _ALL_TEXT
    if len(set(codes)) == 1:
        return _ALL_BINARY if codes[0] == BINARY_FORMAT else _ALL_TEXT
    return (BINARY_FORMAT, frozenset(formats_by_type(columns, codes).items()))


@dataclasses.dataclass(frozen=True, slots=True)
class _IntrospectionStatement:
    name: str = "none"


class PassThroughConnection(asyncpg.Connection):
    """Encode and decode every value as bytes, in the selected formats."""

    __slots__ = ("formats", "known_oids")

    def __init__(self, *args: t.Any, **kwargs: t.Any):
        super().__init__(*args, **kwargs)
        self.formats: Formats | None = None
        self.known_oids = set(BUILTIN_TYPE_OID_MAP)

    def use_formats(self, formats: Formats) -> None:
        """Select the formats for statements prepared from now on."""
        if formats == self.formats:
            return
        format_by_oid = dict(formats[1])
        for oid in self.known_oids:
            self._register_codec(oid, format_by_oid.get(oid, formats[0]))
        self.formats = formats

    def _register_codec(self, oid: int, code: int) -> None:
        settings = self._protocol.get_settings()
        name = BUILTIN_TYPE_OID_MAP.get(oid, str(oid))
        settings.add_python_codec(
            oid,
            name,
            "pg_catalog",
            [],
            "scalar",
            _ENCODERS[code],
            _DECODERS[code],
            _FORMAT_NAMES[code],
        )

    async def _introspect_types(self, typeoids, timeout):
        default, format_by_oid = self.formats
        format_by_oid = dict(format_by_oid)
        for oid in typeoids:
            self.known_oids.add(oid)
            self._register_codec(oid, format_by_oid.get(oid, default))
        return [], _IntrospectionStatement()
