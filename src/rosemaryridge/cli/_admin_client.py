"""Call the admin ports of proxies."""

import contextlib
import typing as t

import aiohttp

from rosemaryridge import codes
from rosemaryridge.exceptions import Refusal

_OK = 200


class AdminClient:
    """Send requests to the admin port of one proxy."""

    def __init__(self, address: str, session: aiohttp.ClientSession):
        self._address = address
        self._base_url = f"http://{address}"
        self._session = session

    async def status(self, *sections: str) -> dict[str, t.Any]:
        """Return the proxy's status: all sections, or the given one."""
        if len(sections) == 1:
            return await self._call("GET", f"/status/{sections[0]}")
        return await self._call("GET", "/status")

    async def status_of(self, vm: str, *sections: str) -> dict[str, t.Any]:
        """Return sections of another proxy's status, queried through this proxy."""
        return await self.run("status-of", vm=vm, sections=",".join(sections))

    async def run(self, command: str, **args: str) -> t.Any:
        """Run a command; raise Refusal if it is rejected or not answered."""
        return await self._call("POST", f"/commands/{command}", json=args)

    async def _call(self, method: str, path: str, **options: t.Any) -> t.Any:
        try:
            async with self._session.request(
                method, self._base_url + path, **options
            ) as resp:
                body = await resp.json(content_type=None)
        except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
            detail = f"admin request to {self._address} failed: {type(exc).__name__}"
            raise Refusal(codes.peer.PEER_DOWN, detail) from exc
        if resp.status != _OK:
            raise Refusal(codes.peer.PEER_DOWN, str(body.get("error", body)))
        return body


@contextlib.asynccontextmanager
async def open_admin(address: str, timeout_s: float) -> t.AsyncIterator[AdminClient]:
    """Open a client for one proxy; `timeout_s` limits each request."""
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield AdminClient(address, session)
