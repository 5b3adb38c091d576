"""Learn positions of primaries from nearby proxies, by datagrams.

Each group has home proxies in every failure domain that ask its primary; the others
ask a home, so that neither the primary's connections nor bytes between regions grow
with the number of proxies.
"""

import asyncio
import dataclasses
import json
import typing as t
import zlib

from rosemaryridge.core._boottime import boottime
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._group import Group
from rosemaryridge.model import Endpoint
from rosemaryridge.model import Position

# Proxies of a failure domain that ask one group's primary; the second stands in.
_HOMES = 2
# A home in the same failure domain answers within 1 ms, or after its own question
# to the primary, 40 ms away.
_ANSWER_S = 0.15
# A home that gave no answer is passed over for this long.
_MISSED_S = 3.0
# A home answers with a position of this age at most, else it asks the primary.
_FRESH_S = 0.3


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """Locate a proxy for questions."""

    vm: str
    failure_domain: str
    endpoint: Endpoint


@dataclasses.dataclass(frozen=True, slots=True)
class Question:
    """Ask for the newest position of a group."""

    number: int
    service: str


@dataclasses.dataclass(frozen=True, slots=True)
class Reply:
    """Tell a group's position, proved `age_s` before the reply."""

    number: int
    term: int
    lsn: int
    age_s: float


def homes(service: str, peers: t.Iterable[Peer], failure_domain: str) -> list[Peer]:
    """Return the proxies of a failure domain that ask a group's primary."""
    near = [peer for peer in peers if peer.failure_domain == failure_domain]
    near.sort(key=lambda peer: zlib.crc32(f"{service}/{peer.vm}".encode()))
    return near[:_HOMES]


def encode(message: Question | Reply) -> bytes:
    """Return a message's datagram."""
    return json.dumps(dataclasses.astuple(message)).encode()


def decode(data: bytes) -> Question | Reply:
    """Return a datagram's message; raise ValueError."""
    fields = json.loads(data)
    if not isinstance(fields, list) or len(fields) not in (2, 4):
        raise ValueError("the datagram is no message")
    if len(fields) == 2:
        return Question(int(fields[0]), str(fields[1]))
    number, term, lsn, age_s = fields
    reply = Reply(int(number), int(term), int(lsn), float(age_s))
    if not reply.age_s >= 0.0:
        raise ValueError("the age is negative")
    return reply


class Peers(asyncio.DatagramProtocol):
    """Ask homes for positions and answer as one."""

    def __init__(
        self,
        vm: str,
        failure_domain: str,
        groups: t.Mapping[str, Group],
        log: EventLog,
    ):
        self._vm = vm
        self._failure_domain = failure_domain
        self._groups = groups
        self._log = log
        self._peers: tuple[Peer, ...] = ()
        self._homes: dict[str, list[Peer]] = {}
        self._missed: dict[str, float] = {}
        self._waiting: dict[int, asyncio.Future[Reply]] = {}
        self._numbers = 0
        self._transport: asyncio.DatagramTransport | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()

    async def start(self, host: str, port: int) -> Endpoint:
        """Listen; return the address that was bound."""
        transport, _ = await self._loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, port)
        )
        self._transport = transport
        return Endpoint(*transport.get_extra_info("sockname")[:2])

    def close(self) -> None:
        """Stop listening."""
        if self._transport is not None:
            self._transport.close()

    def set_peers(self, peers: t.Iterable[Peer]) -> None:
        """Take over the list of proxies."""
        self._peers = tuple(peers)
        self._homes.clear()

    async def ask(self, group: Group) -> bool:
        """Ask a home for a group's position; return whether it told a newer one."""
        home = self._home(group.service)
        if home is None or self._transport is None:
            return False
        self._numbers += 1
        number = self._numbers
        fut: asyncio.Future[Reply] = self._loop.create_future()
        self._waiting[number] = fut
        asked_at = boottime()
        question = encode(Question(number, group.service))
        self._transport.sendto(question, (home.endpoint.host, home.endpoint.port))
        try:
            async with asyncio.timeout(_ANSWER_S):
                reply = await fut
        except TimeoutError:
            self._missed[home.vm] = self._loop.time() + _MISSED_S
            self._log.write("home_silent", service=group.service, home=home.vm)
            return False
        finally:
            del self._waiting[number]
        # The home's proof is younger than the question by no more than its age, so
        # no clocks are compared.
        return group.record_peer_position(
            Position(reply.term, reply.lsn), asked_at - reply.age_s
        )

    def _home(self, service: str) -> Peer | None:
        found = self._homes.get(service)
        if found is None:
            found = homes(service, self._peers, self._failure_domain)
            self._homes[service] = found
        if any(peer.vm == self._vm for peer in found):
            return None
        now = self._loop.time()
        return next((p for p in found if self._missed.get(p.vm, 0.0) <= now), None)

    def datagram_received(self, data: bytes, addr: tuple[t.Any, ...]) -> None:
        """Take in a question or a reply."""
        try:
            message = decode(data)
        except (ValueError, TypeError):
            self._log.write("datagram_unreadable", sender=addr[0])
            return
        if isinstance(message, Question):
            task = self._loop.create_task(self._answer(message, addr))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
            return
        fut = self._waiting.get(message.number)
        if fut is not None and not fut.done():
            fut.set_result(message)

    async def _answer(self, question: Question, addr: tuple[t.Any, ...]) -> None:
        group = self._groups.get(question.service)
        if group is None:
            return
        known = await group.fetch_newest_position(_FRESH_S)
        if known is None or self._transport is None:
            return
        position, proved_at = known
        age_s = max(0.0, boottime() - proved_at)
        reply = Reply(question.number, position.term, position.lsn, age_s)
        self._transport.sendto(encode(reply), addr)
