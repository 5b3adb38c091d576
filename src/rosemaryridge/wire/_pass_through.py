"""Hand values through asyncpg as bytes, in the format that is asked for."""

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

# Formats by type; the default holds for every type that is not named.
Formats = tuple[int, frozenset[tuple[int, int]]]
_ALL_TEXT: Formats = (TEXT_FORMAT, frozenset())
_ALL_BINARY: Formats = (BINARY_FORMAT, frozenset())


def formats_of(columns: t.Sequence[Column], codes: t.Sequence[int]) -> Formats:
    """Return the formats to prepare with, from Bind's format codes of a result."""
    if not codes:
        return _ALL_TEXT
    if len(set(codes)) == 1:
        return _ALL_BINARY if codes[0] == BINARY_FORMAT else _ALL_TEXT
    return (BINARY_FORMAT, frozenset(formats_by_type(columns, codes).items()))


@dataclasses.dataclass(frozen=True, slots=True)
class _Introspected:
    name: str = "none"


class PassThroughConnection(asyncpg.Connection):
    """Hand every value on as bytes, in the format that is asked for."""

    __slots__ = ("formats", "known_oids")

    def __init__(self, *args: t.Any, **kwargs: t.Any):
        super().__init__(*args, **kwargs)
        self.formats: Formats | None = None
        self.known_oids = set(BUILTIN_TYPE_OID_MAP)

    def use_formats(self, formats: Formats) -> None:
        """Prepare what follows so that each type has its format."""
        if formats == self.formats:
            return
        named = dict(formats[1])
        for oid in self.known_oids:
            self._register(oid, named.get(oid, formats[0]))
        self.formats = formats

    def _register(self, oid: int, code: int) -> None:
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
        default, named = self.formats
        named = dict(named)
        for oid in typeoids:
            self.known_oids.add(oid)
            self._register(oid, named.get(oid, default))
        return [], _Introspected()
