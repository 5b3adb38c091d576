"""Send malformed messages on each interface; at most one connection may end."""

import asyncio
import json
import socket
import unittest

from rosemaryridge.core.store import Claim
from rosemaryridge.core.store._claims import NO_CLAIM
from rosemaryridge_testbed.site import RawJson
from tests.integration.test_site import SiteCase

_DATAGRAMS = (
    b"",
    b"\xff\xfe",
    b"{}",
    b"[" * 5000,
    b"[1e999]",
    b'[1e999, "books"]',
    b"[1, 2, 1e999, 0]",
    b'[1, 0.1, {"claims": {"books": [1e999, 1, "a"]}}]',
    b'["x", "books"]',
    b'[1, "no such service"]',
)
_STORE_BODIES = (
    b"[]",
    b"{}",
    b'"text"',
    b"not json",
    b"[" * 5000,
    b'{"items": 3, "store_revision": 4}',
    b'{"items": [{"meta": {}}], "store_revision": 4}',
    b'{"items": [], "store_revision": null}',
    b'{"items": [], "store_revision": 1e999}',
    b'{"events": [{}], "store_revision": 4}',
)
_DEEP = RawJson("[" * 100_000 + "]" * 100_000)
_LONG_NUMBER = RawJson("9" * 6000)
_ODD_VALUES = (_DEEP, _LONG_NUMBER, RawJson("1e999"), RawJson("NaN"), -1, 2**70, "")
_CALLER_BYTES = (
    b"\r\n",
    b"\x00\xff\xfe\r\n",
    b"QUERY\r\n",
    b"QUERY 1 READ k\r\n",
    b"START\r\n",
    b"START \xff\r\n",
    b"X" * 70000,
)
_TARGET_BYTES = (
    b"\r\n",
    b"\x00\xff\r\n",
    b"READY\r\n",
    b"READY Z 1.2\r\n",
    b"DATAROW\r\nCOMPLETE\r\nREADY I x.y\r\n",
    b"ERROR\r\nREADY I -\r\n",
)


class MalformedTest(SiteCase):
    async def assert_serving(self):
        """Check that callers are served and that the process has not ended."""
        client = await self.client("books-orders")
        for _ in range(50):
            reply = await client.execute("WRITE k d")
            if not reply.code:
                break
            await asyncio.sleep(0.05)
        self.assertEqual(reply.code, "")
        self.assertFalse(self.tasks[0].done())

    async def test_datagrams_of_proxies(self):
        peers = self.entries[0]._peers
        address = peers._transport.get_extra_info("sockname")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in _DATAGRAMS:
                sock.sendto(data, address)
        await self.until(lambda: self.events().count("datagram_unreadable") >= 8)
        self.assertFalse(peers._transport.is_closing())
        await self.assert_serving()

    async def test_answers_of_the_store(self):
        for body in _STORE_BODIES:
            self.site.store.body = body
            self.site.store.cut_watches()
            await asyncio.sleep(0.15)
        self.site.store.body = b""
        await self.assert_serving()
        self.site.publish(7)
        await self.until(lambda: '"version": 7' in self.events())

    async def test_objects_in_the_store(self):
        for number, spec in enumerate(
            (None, 3, [], {"version": 1e999}, {"capacity": float("inf"), "born": 1})
        ):
            self.site.store.write("config", f"odd-{number}", spec)
            self.site.store.write("servers", f"odd-{number}", spec)
            self.site.store.write("proxies", f"odd-{number}", spec)
            self.site.store.write("failovers", "books", spec)
        valid = self.site.store.objects["servers"]["books-1"]["spec"]
        for field in valid:
            odd = {**valid, field: json.loads("1e999")}
            self.site.store.write("servers", f"odd-{field}", odd)
        await asyncio.sleep(0.3)
        await self.assert_serving()

    async def assert_follows(self):
        """Check that changes of every kind of entry still reach the process."""
        self.site.publish(100)
        await self.until(lambda: '"version": 100' in self.events())
        entry = self.site.store.objects["servers"]["books-0"]["spec"]
        self.site.store.write("servers", "books-0", {**entry, "phase": "draining"})
        await self.until(lambda: '"target_draining"' in self.events())
        await self.assert_serving()

    async def test_one_undecodable_entry_does_not_hide_the_others(self):
        store = self.site.store
        for kind in ("servers", "proxies", "failovers", "config"):
            store.write(kind, "deep", _DEEP)
            store.write(kind, "long", _LONG_NUMBER)
        # Watches and, after a lost history, lists contain the entries.
        await asyncio.sleep(0.3)
        store.compact()
        await asyncio.sleep(0.3)
        self.assertNotIn('"store_lost"', self.events())
        for name in ("deep", "long"):
            self.assertEqual(
                self.events().count(f'"kind": "servers", "name": "{name}"'), 1
            )
        await self.assert_follows()

    async def test_one_odd_field_of_a_proxy_ends_no_process(self):
        valid = self.site.store.objects["proxies"]["vm-0"]["spec"]
        for number, value in enumerate((*_ODD_VALUES, 70_000)):
            for field in valid:
                odd = {**valid, field: value}
                if field == "address":
                    odd[field] = f"127.0.0.1:{value}"
                self.site.store.write("proxies", f"odd-{field}-{number}", odd)
        registry = self.entries[0]._proxy_registry
        entries = await registry._list(asyncio.get_running_loop().time())
        self.entries[0]._on_proxies_listed(entries)
        await self.assert_follows()

    async def test_one_odd_field_of_a_target_does_not_stop_the_others(self):
        valid = self.site.store.objects["servers"]["books-1"]["spec"]
        values = (*_ODD_VALUES, 0, "10.0.0.1:70000", "a" * 80 + ":80", "x" * 9000)
        for number, value in enumerate(values):
            for field in valid:
                odd = {**valid, field: value}
                self.site.store.write("servers", f"odd-{field}-{number}", odd)
        await asyncio.sleep(0.3)
        self.assertNotIn("mirror_failed", self.events())
        self.assertNotIn("x" * 300, self.events())
        await self.assert_follows()

    async def test_an_entry_that_becomes_unreadable_names_no_target(self):
        store = self.site.store
        valid = store.objects["servers"]["books-1"]["spec"]
        targets = self.entries[0]._proxy.directory.group("books").targets
        for odd in (_DEEP, {"service": 3}):
            for listed in (False, True):
                with self.subTest(str(odd)[:20], listed=listed):
                    store.write("servers", "books-1", valid)
                    await self.until(lambda: "books-1" in targets)
                    store.write("servers", "books-1", odd)
                    if listed:
                        store.compact()
                    await self.until(lambda: "books-1" not in targets)

    async def test_an_odd_claim_does_not_end_the_checks_of_a_group(self):
        for value in _ODD_VALUES:
            claim = {"fence": 1, "holder": "a", "term": 1, "target": "b"}
            for field in claim:
                self.assertEqual(Claim.decode({**claim, field: [value]}), NO_CLAIM)
            for field in ("fence", "term"):
                spec = {**claim, field: float("inf")}
                self.assertEqual(Claim.decode(spec), NO_CLAIM)
                self.assertEqual(Claim.decode({**claim, field: 2**70}), NO_CLAIM)
        self.site.store.write("failovers", "books", _DEEP)
        await self.target(0).crash()
        # Without statements a proxy does not notice the crash.
        client = await self.client("books-orders")
        await client.execute("WRITE k d")
        await self.until(lambda: len(self.site.promotions) == 1)
        await self.assert_serving()

    async def test_bytes_of_callers(self):
        host, _, port = self.addresses[0].partition(":")
        for data in _CALLER_BYTES:
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(data)
            await asyncio.sleep(0.02)
            writer.close()
        await self.assert_serving()

    async def test_answers_of_targets(self):
        client = await self.client("books-orders")
        for data in _TARGET_BYTES:
            self.target(0).garbage = data
            await client.execute("WRITE k d")
            self.target(0).garbage = b""
            client = await self.client("books-orders")
        await self.assert_serving()


if __name__ == "__main__":
    unittest.main()
