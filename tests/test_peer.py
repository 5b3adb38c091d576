import asyncio
import random
import unittest

from rosemaryridge.exceptions import PeerUnavailable
from rosemaryridge.model import Endpoint
from rosemaryridge.peer import BusSettings
from rosemaryridge.peer import GrpcPeerBus
from rosemaryridge.peer import PeerIdentity
from rosemaryridge.peer import PeerMessage
from rosemaryridge.peer._outbox import GapDetector
from rosemaryridge.peer._outbox import Outbox
from rosemaryridge.peer.peer_pb2 import Envelope
from rosemaryridge.timer import LoopTimer

CFG = BusSettings(heartbeat_s=0.1, backoff_max_s=0.2)
TIMEOUT_S = 20.0


class Note(PeerMessage, frozen=True):
    text: str


class OutboxTest(unittest.TestCase):
    def test_detects_dropped_messages_as_a_gap(self):
        outbox, detector = Outbox(limit=3), GapDetector()
        outbox.push(Envelope(kind="a"))
        self.assertFalse(detector.check(outbox.pop_batch(10)))
        for kind in "bcdef":
            outbox.push(Envelope(kind=kind))
        batch = outbox.pop_batch(2)
        self.assertEqual([envelope.kind for envelope in batch.envelopes], ["d", "e"])
        self.assertEqual(outbox.dropped, 2)
        self.assertTrue(detector.check(batch))
        self.assertFalse(detector.check(outbox.pop_batch(2)))


class GrpcPeerBusTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.buses = []
        self.addAsyncCleanup(self.stop_buses)

    async def stop_buses(self):
        await asyncio.gather(*(bus.stop() for bus in self.buses))

    async def start_bus(self, vm, port=0, incarnation=1):
        identity = PeerIdentity(
            vm, incarnation, "suva", "fiji", Endpoint("127.0.0.1", port)
        )
        bus = GrpcPeerBus(CFG, LoopTimer(), random.Random(vm), identity)
        await bus.start()
        bus.notes = []
        bus.on_message(Note, lambda source, note: bus.notes.append((source, note)))
        bus.on_ask(Note, lambda source, note: Note(note.text + "!"))
        self.buses.append(bus)
        return bus

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    async def connect(self, *buses):
        for one in buses:
            for other in buses:
                one.set_address(other.identity.vm, other.identity.endpoint)
        for one in buses:
            one.set_neighbours(other.identity.vm for other in buses)
        await self.wait_until(
            lambda: all(len(b.peers()) == len(buses) - 1 for b in buses)
        )

    async def test_sends_in_order_requests_and_broadcasts(self):
        one, two, three = [await self.start_bus(vm) for vm in ("vm1", "vm2", "vm3")]
        await self.connect(one, two, three)
        for number in range(100):
            one.send("vm2", Note(str(number)))
        self.assertEqual(await one.ask("vm3", Note("hi"), TIMEOUT_S), Note("hi!"))
        three.broadcast(Note("all"))
        await self.wait_until(lambda: len(two.notes) == 101 and len(one.notes) == 1)
        sent = [note.text for source, note in two.notes if source == "vm1"]
        self.assertEqual(sent, [str(number) for number in range(100)])

    async def test_keeps_one_stream_per_pair(self):
        one, two = await self.start_bus("vm1"), await self.start_bus("vm2")
        one.set_address("vm2", two.identity.endpoint)
        two.set_address("vm1", one.identity.endpoint)
        two.send("vm1", Note("from two"))
        one.send("vm2", Note("from one"))
        await self.wait_until(lambda: one.peers() and two.peers())
        for number in range(30):
            await asyncio.sleep(0.02)
            one.send("vm2", Note(str(number)))
        await self.wait_until(lambda: ("vm1", Note("29")) in two.notes)
        self.assertEqual((one.peers(), two.peers()), (("vm2",), ("vm1",)))

    async def test_reconnects_after_a_restart_and_resyncs(self):
        one, two = await self.start_bus("vm1"), await self.start_bus("vm2")
        await self.connect(one, two)
        resynced, lost = [], []
        one.on_resync(resynced.append)
        one.on_lost(lost.append)
        await two.stop()
        self.buses.remove(two)
        await self.wait_until(lambda: lost == ["vm2"])
        with self.assertRaises(PeerUnavailable):
            await one.ask("vm2", Note("gone"), 0.2)
        restarted = await self.start_bus(
            "vm2", two.identity.endpoint.port, incarnation=2
        )
        await self.wait_until(lambda: "vm2" in resynced)
        self.assertEqual(restarted.peers(), ("vm1",))

    async def test_unknown_peer_is_unavailable(self):
        one = await self.start_bus("vm1")
        with self.assertRaises(PeerUnavailable):
            await one.ask("vm9", Note("hi"), 0.1)

    async def test_unknown_kind_is_counted_and_skipped(self):
        one, two = await self.start_bus("vm1"), await self.start_bus("vm2")
        await self.connect(one, two)
        one._send_envelope("vm2", Envelope(kind="FromTheFuture", payload=b""))
        one.send("vm2", Note("after"))
        await self.wait_until(lambda: two.notes)
        self.assertEqual(two.stats.unknown, 1)


if __name__ == "__main__":
    unittest.main()
