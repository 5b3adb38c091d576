"""Call the admin ports of a fleet's processes."""

import asyncio
import typing as t

import aiohttp

# A paused process does not answer, and must not delay the states of the others.
_STATE_TIMEOUT_S = 1.0


class Admin:
    """Change and read the state of one fleet's processes."""

    def __init__(self, ports: t.Mapping[str, int]):
        self._ports = ports
        self._http = aiohttp.ClientSession(timeout=aiohttp.ClientTimeout(total=5.0))

    async def close(self) -> None:
        """Close the connections."""
        await self._http.close()

    async def _post(self, port: str, path: str, body: t.Any) -> None:
        url = f"http://127.0.0.1:{self._ports[port]}{path}"
        async with self._http.post(url, json=body) as answer:
            answer.raise_for_status()

    async def _get(self, port: str, path: str) -> t.Any:
        url = f"http://127.0.0.1:{self._ports[port]}{path}"
        async with self._http.get(url) as answer:
            answer.raise_for_status()
            return await answer.json(content_type=None)

    async def set_target(self, name: str, **knobs: t.Any) -> None:
        """Change a target's knobs."""
        await self._post(f"{name}-admin", "/knobs", knobs)

    async def target(self, name: str) -> dict[str, t.Any]:
        """Return a target's state."""
        async with asyncio.timeout(_STATE_TIMEOUT_S):
            return await self._get(f"{name}-admin", "/state")

    async def set_platform(self, **faults: t.Any) -> None:
        """Change the platform's faults."""
        await self._post("platform", "/admin/faults", faults)

    async def set_vms(self, vms: t.Sequence[dict[str, t.Any]]) -> None:
        """Set the platform's VM list."""
        await self._post("platform", "/admin/vms", vms)

    async def platform(self) -> dict[str, t.Any]:
        """Return the platform's counters."""
        return await self._get("platform", "/admin/state")

    async def put_object(self, kind: str, name: str, value: bytes, version: int) -> int:
        """Write an object; return its new version."""
        url = f"http://127.0.0.1:{self._ports['platform']}/v1/objects/{kind}/{name}"
        headers = {"If-Match": str(version)}
        async with self._http.put(url, data=value, headers=headers) as answer:
            answer.raise_for_status()
            return (await answer.json(content_type=None))["version"]

    async def set_links(self, *links: str, **faults: t.Any) -> None:
        """Change the faults of links."""
        await self._post("links-admin", "/faults", {"links": links, **faults})

    async def command_links(self, command: str, *links: str, **args: t.Any) -> None:
        """Run `silence`, `close-all` or `close-after` on links' open connections."""
        await self._post("links-admin", f"/{command}", {"links": links, **args})

    async def proxy_page(self, vm: str, path: str) -> str:
        """Return a page of a proxy's admin port."""
        url = f"http://127.0.0.1:{self._ports[vm + '-admin']}{path}"
        async with self._http.get(url) as answer:
            answer.raise_for_status()
            return await answer.text()
