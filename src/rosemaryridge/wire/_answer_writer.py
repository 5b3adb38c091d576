"""Encode the answer to one statement for its caller."""

import typing as t

from rosemaryridge.wire import _messages
from rosemaryridge.wire._caller_session import Rows
from rosemaryridge.wire._caller_stream import CallerStream
from rosemaryridge.wire._columns import Column
from rosemaryridge.wire._columns import expand_formats


class AnswerWriter:
    """Write the answer to one statement to the caller's stream."""

    __slots__ = ("_describe", "_formats", "_stream")

    def __init__(self, stream: CallerStream, formats: t.Sequence[int], describe: bool):
        self._stream = stream
        self._formats = formats
        self._describe = describe

    def formats(self, count: int) -> tuple[int, ...]:
        """Return the format code requested for each of `count` columns."""
        return expand_formats(self._formats, count)

    def columns(self, columns: t.Sequence[Column]) -> None:
        """Send RowDescription; the extended protocol sends it on Describe instead."""
        if self._describe and columns:
            formats = self.formats(len(columns))
            self._stream.write(_messages.row_description(columns, formats))

    async def rows(self, rows: Rows) -> None:
        """Send encoded rows; wait while too many bytes are unsent."""
        if rows:
            self._stream.write(b"".join(map(_messages.data_row, rows)))
            await self._stream.drain_above_limit()
