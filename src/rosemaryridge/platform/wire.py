"""Decode and encode the platform's statement protocol."""

import typing as t

from rosemaryridge.core import Answer
from rosemaryridge.core import Failure
from rosemaryridge.core import Statement
from rosemaryridge.core import TargetCondition
from rosemaryridge.core import TransactionState
from rosemaryridge.core import Verb
from rosemaryridge.model import Position

# The protocol specification limits a message to 1 MiB.
MAX_MESSAGE_BYTES = 1_048_576

_LINE_END = b"\r\n"
_PROXY_ID = b"-"
_NO_VALUE = b"-"
# Names this proxy to targets on connections that belong to no business.
_PROXY_NAME = "rosemaryridge"

_FAILURES = {
    b"BUSY": Failure.BUSY,
    b"LAGGING": Failure.LAGGING,
    b"READONLY": Failure.READ_ONLY,
    b"WRONGNODE": Failure.WRONG_TARGET,
    b"CONNLIMIT": Failure.TOO_MANY_CONNECTIONS,
    b"FAILED": Failure.FAILED,
    b"NOSTMT": Failure.UNKNOWN_STATEMENT,
    b"TIMEOUT": Failure.TIMEOUT,
    b"UNAUTH": Failure.NOT_AUTHORIZED,
    b"NODB": Failure.UNKNOWN_DATABASE,
    b"TOOLARGE": Failure.TOO_LARGE,
    b"MALFORMED": Failure.MALFORMED,
    b"ABORTED": Failure.ABORTED,
    b"INDOUBT": Failure.UNKNOWN_OUTCOME,
}
_FAILURE_WORDS = {failure: word for word, failure in _FAILURES.items()}
_STATES = {
    b"I": TransactionState.IDLE,
    b"T": TransactionState.OPEN,
    b"E": TransactionState.FAILED,
}
_STATE_WORDS = {state: word for word, state in _STATES.items()}
_ARGUMENTLESS = {b"COMMIT": Verb.COMMIT, b"ROLLBACK": Verb.ROLLBACK}
_PREPARED_KINDS = {b"READ": True, b"WRITE": False}


class MalformedMessage(ValueError):
    """Report a message that the protocol does not define."""


class MessageTooLarge(MalformedMessage):
    """Report a message over the size limit; the connection must be closed."""


class Open(t.NamedTuple):
    """Open a session on a database with a key."""

    database: bytes
    key: bytes


class Query(t.NamedTuple):
    """Hold a statement's id and text; decode_statement decodes the text."""

    id: bytes
    text: bytes


class Terminate(t.NamedTuple):
    """End a session."""


class LineReader:
    """Split a byte stream into lines.

    The cost of a message does not depend on the number of parts it arrives in.
    """

    __slots__ = ("_rest",)

    def __init__(self) -> None:
        self._rest = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Return the complete lines; raise MessageTooLarge."""
        searched = max(0, len(self._rest) - 1)
        self._rest += data
        lines: list[bytes] = []
        if self._rest.find(_LINE_END, searched) >= 0:
            *lines, rest = bytes(self._rest).split(_LINE_END)
            self._rest = bytearray(rest)
        longest = max(map(len, lines), default=0)
        if max(longest, len(self._rest)) + len(_LINE_END) > MAX_MESSAGE_BYTES:
            raise MessageTooLarge(f"message exceeds {MAX_MESSAGE_BYTES} bytes")
        return lines


def decode_request(line: bytes) -> Open | Query | Terminate:
    """Return the request that a caller sent; raise MalformedMessage."""
    word, _, rest = line.partition(b" ")
    if word == b"QUERY":
        id_, blank, text = rest.partition(b" ")
        if not id_ or not blank or not text:
            raise MalformedMessage("QUERY requires an id and a text")
        return Query(id_, text)
    if word == b"START":
        database, _, key = rest.partition(b" ")
        if not database or not key:
            raise MalformedMessage("START requires a database and a user")
        return Open(database, key)
    if line == b"TERMINATE":
        return Terminate()
    raise MalformedMessage("unknown message kind; expected START, QUERY or TERMINATE")


def decode_statement(id_: bytes, text: bytes) -> Statement:
    """Return the statement of a text; raise MalformedMessage."""
    word, _, rest = text.partition(b" ")
    decode = _STATEMENT_DECODERS.get(word)
    # A target could parse control bytes differently, and also a doubled blank before a
    # name, which the decoders refuse.
    if decode is None or b"\r" in text or b"\n" in text or b"\0" in text:
        raise MalformedMessage("unknown statement or control byte in the statement")
    return decode(id_, text, rest)


def _decode_argumentless(id_: bytes, text: bytes, rest: bytes) -> Statement:
    if text not in _ARGUMENTLESS:
        raise MalformedMessage("the statement takes no arguments")
    return Statement(id_, _ARGUMENTLESS[text], text)


def _decode_begin(id_: bytes, text: bytes, rest: bytes) -> Statement:
    if text not in (b"BEGIN", b"BEGIN READ"):
        raise MalformedMessage("the only argument of BEGIN is READ")
    return Statement(id_, Verb.BEGIN, text, read_only=rest == b"READ")


def _decode_read(id_: bytes, text: bytes, rest: bytes) -> Statement:
    if not rest or b" " in rest:
        raise MalformedMessage("READ requires exactly one item")
    return Statement(id_, Verb.READ, text, read_only=True)


def _decode_write(id_: bytes, text: bytes, rest: bytes) -> Statement:
    item, blank, data = rest.partition(b" ")
    if not item or not blank or not data:
        raise MalformedMessage("WRITE requires an item and data")
    return Statement(id_, Verb.WRITE, text)


def _decode_set(id_: bytes, text: bytes, rest: bytes) -> Statement:
    name, blank, value = rest.partition(b" ")
    if not name or not blank:
        raise MalformedMessage("SET requires a name and a value")
    return Statement(id_, Verb.SET, text, name, value)


def _decode_prepare(id_: bytes, text: bytes, rest: bytes) -> Statement:
    name, _, rest = rest.partition(b" ")
    kind, _, shape = rest.partition(b" ")
    if not name or kind not in _PREPARED_KINDS or not shape:
        raise MalformedMessage("PREPARE requires a name, READ or WRITE, and a shape")
    return Statement(id_, Verb.PREPARE, text, name, shape, _PREPARED_KINDS[kind])


def _decode_execute(id_: bytes, text: bytes, rest: bytes) -> Statement:
    name, _, args = rest.partition(b" ")
    if not name or not args:
        raise MalformedMessage("EXECUTE requires a name and an item")
    return Statement(id_, Verb.EXECUTE, text, name, args)


def _decode_deallocate(id_: bytes, text: bytes, rest: bytes) -> Statement:
    if not rest or b" " in rest:
        raise MalformedMessage("DEALLOCATE requires one name")
    return Statement(id_, Verb.DEALLOCATE, text, rest)


_STATEMENT_DECODERS: dict[bytes, t.Callable[[bytes, bytes, bytes], Statement]] = {
    b"BEGIN": _decode_begin,
    b"COMMIT": _decode_argumentless,
    b"ROLLBACK": _decode_argumentless,
    b"READ": _decode_read,
    b"WRITE": _decode_write,
    b"SET": _decode_set,
    b"PREPARE": _decode_prepare,
    b"EXECUTE": _decode_execute,
    b"DEALLOCATE": _decode_deallocate,
}


def encode_ready(state: TransactionState, position: Position | None = None) -> bytes:
    """Return the message that ends an answer."""
    return b"READY %b %b\r\n" % (_STATE_WORDS[state], _encode_position(position))


def encode_failure(failure: Failure, detail: str) -> bytes:
    """Return a failure without the message that ends an answer."""
    return b"ERROR %b %b\r\n" % (_FAILURE_WORDS[failure], _encode_detail(detail))


def encode_answer(answer: Answer) -> bytes:
    """Return a complete answer to a caller."""
    if answer.failure is not None:
        end = encode_failure(answer.failure, answer.detail)
    else:
        end = b"COMPLETE %b\r\n" % (answer.signature or _NO_VALUE)
    rows = [b"DATAROW %b\r\n" % row for row in answer.rows]
    ready = encode_ready(answer.state, answer.position)
    return b"".join((*rows, end, ready))


class AnswerReader:
    """Decode a target's answers from a byte stream."""

    __slots__ = ("_failure", "_detail", "_lines", "_rows", "_signature")

    def __init__(self) -> None:
        self._lines = LineReader()
        self._reset()

    def feed(self, data: bytes) -> list[Answer]:
        """Return the complete answers; raise MalformedMessage."""
        found = (self._handle_line(line) for line in self._lines.feed(data))
        return [answer for answer in found if answer is not None]

    def _reset(self) -> None:
        self._rows: list[bytes] = []
        self._signature = b""
        self._failure: Failure | None = None
        self._detail = ""

    def _handle_line(self, line: bytes) -> Answer | None:
        word, _, rest = line.partition(b" ")
        if word == b"READY":
            return self._finish(rest)
        if word == b"DATAROW":
            self._rows.append(rest)
        elif word == b"COMPLETE":
            self._signature = b"" if rest == _NO_VALUE else rest
        elif word == b"ERROR":
            code, _, detail = rest.partition(b" ")
            self._failure = _FAILURES.get(code, Failure.FAILED)
            self._detail = detail.decode(errors="replace")
        else:
            raise MalformedMessage(f"unexpected message {word[:20]!r} from the target")
        return None

    def _finish(self, rest: bytes) -> Answer:
        state, _, position = rest.partition(b" ")
        if state not in _STATES:
            raise MalformedMessage(
                f"unknown transaction state {state[:20]!r} from the target"
            )
        answer = Answer(
            tuple(self._rows),
            self._signature,
            self._failure,
            self._detail,
            _STATES[state],
            decode_position(position),
        )
        self._reset()
        return answer

    def refusal(self) -> tuple[Failure, str] | None:
        """Return a failure that no READY followed, as sent before a close."""
        return (self._failure, self._detail) if self._failure else None


def encode_start(service: str, business: str, target: str) -> bytes:
    """Return the message that opens a session if the target has this id."""
    words = (service, business or _PROXY_NAME, target)
    return b"START %b %b %b\r\n" % tuple(word.encode() for word in words)


def encode_query(text: bytes, id_: bytes = _PROXY_ID) -> bytes:
    """Return a statement message; the default id marks the proxy's own statements."""
    return b"QUERY %b %b\r\n" % (id_, text)


def begin_text(read_only: bool) -> bytes:
    """Return the text that opens a transaction."""
    return b"BEGIN READ" if read_only else b"BEGIN"


def min_position_text(position: Position, text: bytes) -> bytes:
    """Return the text of a READ, EXECUTE or BEGIN with a minimum position.

    A target whose log does not reach the position refuses it.
    """
    return b"AFTER %b %b" % (_encode_position(position), text)


def set_text(name: bytes, value: bytes) -> bytes:
    """Return the text that sets a session variable."""
    return b"SET %b %b" % (name, value)


def prepare_text(name: bytes, read_only: bool, shape: bytes) -> bytes:
    """Return the text that prepares a statement."""
    kind = b"READ" if read_only else b"WRITE"
    return b"PREPARE %b %b %b" % (name, kind, shape)


def execute_text(name: bytes, args: bytes) -> bytes:
    """Return the text that runs a prepared statement."""
    return b"EXECUTE %b %b" % (name, args)


ROLLBACK = b"ROLLBACK"
RESET = b"RESET"
STATUS = b"STATUS"


def step_down_text(term: int) -> bytes:
    """Return the text that demotes a primary of a lower term."""
    return b"STEPDOWN %d" % term


def decode_condition(answer: Answer) -> TargetCondition | None:
    """Return a target's condition; None if the answer contains none."""
    if not answer.ok or not answer.rows:
        return None
    fields = answer.rows[0].split()
    try:
        role, term, received, held, lag_ms, busy, connections = fields[:7]
        # `held` is the term of a PAUSE.
        return TargetCondition(
            role == b"primary",
            int(term),
            decode_position(received) or Position(),
            int(held),
            float(lag_ms) / 1000.0,
            int(busy),
            int(connections),
        )
    except ValueError:
        return None


def decode_position(text: bytes) -> Position | None:
    """Return a log position; None if the text is not a position."""
    term, dot, number = text.partition(b".")
    if not dot or not term.isdigit() or not number.isdigit():
        return None
    return Position(int(term), int(number))


def _encode_position(position: Position | None) -> bytes:
    if position is None:
        return _NO_VALUE
    return b"%d.%d" % (position.term, position.lsn)


def _encode_detail(detail: str) -> bytes:
    return detail.replace("\r", " ").replace("\n", " ").encode() or _NO_VALUE
