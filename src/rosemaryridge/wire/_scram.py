"""Authenticate callers by SCRAM-SHA-256 with stored verifiers."""

import base64
import binascii
import dataclasses
import hashlib
import hmac
import os
import re
import typing as t

import scramp
from pg_mimic import messages
from pg_mimic.auth import AuthPlugin
from pg_mimic.auth import _set_client_first
from pg_mimic.stream import PgStream

MECHANISM = "SCRAM-SHA-256"
_DEFAULT_ITERATIONS = 4096
_SALT_BYTES = 16
_VERIFIER_PATTERN = re.compile(
    r"SCRAM-SHA-256\$(?P<iterations>\d+):(?P<salt>[^$]+)"
    r"\$(?P<stored>[^:]+):(?P<server>.+)\Z"
)


@dataclasses.dataclass(frozen=True, slots=True)
class Verifier:
    """Store the SCRAM keys that verify a password without the password itself."""

    iterations: int
    salt: bytes
    stored_key: bytes
    server_key: bytes

    @classmethod
    def parse(cls, text: str) -> "Verifier":
        """Parse the text form stored by PostgreSQL; raise ValueError if invalid."""
        match = _VERIFIER_PATTERN.match(text)
        if match is None:
            raise ValueError(
                "invalid verifier; expected SCRAM-SHA-256 as in pg_authid.rolpassword"
            )
        try:
            salt, stored, server = (
                base64.b64decode(match[name], validate=True)
                for name in ("salt", "stored", "server")
            )
        except binascii.Error as exc:
            raise ValueError(
                "invalid verifier; expected SCRAM-SHA-256 as in pg_authid.rolpassword"
            ) from exc
        return cls(int(match["iterations"]), salt, stored, server)

    @classmethod
    def of_password(
        cls,
        password: str,
        salt: bytes | None = None,
        iterations: int = _DEFAULT_ITERATIONS,
    ) -> "Verifier":
        """Derive the verifier of a password (RFC 5802)."""
        salt = salt or os.urandom(_SALT_BYTES)
        salted = hashlib.pbkdf2_hmac("sha256", password.encode(), salt, iterations)
        client_key = hmac.digest(salted, b"Client Key", "sha256")
        stored_key = hashlib.sha256(client_key).digest()
        server_key = hmac.digest(salted, b"Server Key", "sha256")
        return cls(iterations, salt, stored_key, server_key)

    def __str__(self) -> str:
        salt, stored, server = (
            base64.b64encode(part).decode()
            for part in (self.salt, self.stored_key, self.server_key)
        )
        return f"{MECHANISM}${self.iterations}:{salt}${stored}:{server}"


def unknown_verifier(user: str, secret: bytes) -> Verifier:
    """Return a verifier that matches no password, stable for each user name.

    Callers cannot distinguish an unknown user from a wrong password by the salt.
    """
    salt = hmac.digest(secret, user.encode(), "sha256")[:_SALT_BYTES]
    unmatched_key = hmac.digest(secret, salt, "sha256")
    return Verifier(_DEFAULT_ITERATIONS, salt, unmatched_key, unmatched_key)


class VerifierAuth(AuthPlugin):
    """Authenticate a caller by one SCRAM exchange with a verifier."""

    def __init__(self, verifier: Verifier):
        self._verifier = verifier

    async def authenticate(self, stream: PgStream, username, identity_provider) -> bool:
        """Run the exchange; return whether the caller has the right password."""
        verifier = self._verifier
        server = scramp.ScramMechanism(MECHANISM).make_server(
            lambda _: (
                verifier.salt,
                verifier.stored_key,
                verifier.server_key,
                verifier.iterations,
            )
        )
        stream.write(messages.make_authentication_sasl([MECHANISM]))
        await stream.drain()
        try:
            await self._exchange(stream, server)
        except (scramp.ScramException, ValueError, IndexError):
            return False
        final = server.get_server_final().encode()
        stream.write(messages.make_authentication_sasl_final(final))
        await stream.drain()
        return True

    async def _exchange(self, stream: PgStream, server: t.Any) -> None:
        payload = await _read_sasl_response(stream)
        mechanism, client_first = messages.parse_sasl_initial_response(payload)
        if mechanism != MECHANISM:
            raise ValueError("unsupported SASL mechanism; expected SCRAM-SHA-256")
        _set_client_first(server, client_first.decode())
        first = server.get_server_first().encode()
        stream.write(messages.make_authentication_sasl_continue(first))
        await stream.drain()
        payload = await _read_sasl_response(stream)
        server.set_client_final(payload.decode())


async def _read_sasl_response(stream: PgStream) -> bytes:
    tag, payload = await stream.read_message()
    if tag != messages.PASSWORD:
        raise ValueError("unexpected message type; expected a SASL response")
    return payload
