"""Test the encoding, authentication and errors of the wire without sockets."""

import asyncio
import base64
import unittest
from unittest import mock

import asyncpg
from pg_mimic import types as oids

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal
from rosemaryridge.wire import Column
from rosemaryridge.wire import TargetConnection
from rosemaryridge.wire import Verifier
from rosemaryridge.wire import formats_of
from rosemaryridge.wire._columns import convert_format
from rosemaryridge.wire._columns import expand_formats
from rosemaryridge.wire._errors import refusal_fields
from rosemaryridge.wire._messages import data_row


class TestVerifier(unittest.TestCase):
    def test_parse_inverts_str(self):
        verifier = Verifier.of_password("secret", b"0123456789abcdef")
        self.assertEqual(Verifier.parse(str(verifier)), verifier)

    def test_derives_the_verifier_of_rfc_7677(self):
        salt = "W22ZaJ0SNY7soEsUEjb6gQ=="
        verifier = str(Verifier.of_password("pencil", base64.b64decode(salt)))
        self.assertEqual(
            verifier,
            f"SCRAM-SHA-256$4096:{salt}"
            "$WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY="
            ":wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=",
        )

    def test_rejects_invalid_verifiers(self):
        for text in ("", "md5abc", "SCRAM-SHA-256$x:y$z", "SCRAM-SHA-256$1:*$*:*"):
            with self.subTest(text), self.assertRaises(ValueError):
                Verifier.parse(text)


class TestTerminatedConnection(unittest.TestCase):
    def test_statements_raise_interface_error(self):
        conn = mock.Mock()
        connection = TargetConnection(conn, mock.Mock())
        conn._protocol = None
        for pending in (
            connection.prepare("SELECT 1", formats_of((), ())),
            connection.command("SELECT 1"),
        ):
            with self.assertRaises(asyncpg.InterfaceError):
                asyncio.run(pending)


class TestDataRow(unittest.TestCase):
    def test_encodes_null_and_empty_values(self):
        expected = b"D\x00\x00\x00\x14\x00\x03\x00\x00\x00\x02hi\xff\xff\xff\xff"
        expected += b"\x00\x00\x00\x00"
        self.assertEqual(data_row((b"hi", None, b"")), expected)


class TestFormats(unittest.TestCase):
    def test_expand_formats(self):
        self.assertEqual(expand_formats((), 2), (0, 0))
        self.assertEqual(expand_formats((1,), 2), (1, 1))
        self.assertEqual(expand_formats((0, 1), 2), (0, 1))

    def test_mixed_formats_are_selected_by_type(self):
        columns = (Column("a", 23), Column("b", 25), Column("c", 23))
        self.assertEqual(formats_of(columns, (1, 0, 1))[1], {(23, 1), (25, 0)})
        with self.assertRaises(Refusal):
            formats_of(columns, (1, 0, 0))

    def test_convert(self):
        cases = (
            (oids.INT4, b"-7", b"\xff\xff\xff\xf9"),
            (oids.BOOL, b"t", b"\x01"),
            (oids.TEXT, b"x", b"x"),
            (oids.DATE, b"2000-01-02", b"\x00\x00\x00\x01"),
        )
        for oid, text, binary in cases:
            with self.subTest(oid):
                self.assertEqual(convert_format(text, oid, 0, 1), binary)
                self.assertEqual(convert_format(binary, oid, 1, 0), text)
        with self.assertRaises(Refusal):
            convert_format(b"x", 999_999, 0, 1)


class TestErrors(unittest.TestCase):
    def test_refusal_has_code_outcome_and_retry_delay(self):
        fields = refusal_fields(Refusal(codes.limits.QUEUE_FULL, "full", 0.25))
        self.assertEqual(fields["C"], "53400")
        self.assertIn("2001 queue_full; outcome: not run", fields["D"])
        self.assertIn("Retry after 0.250 s", fields["H"])
