"""Fetch the metrics pages of entry programs."""

import typing as t

import aiohttp
import click


async def fetch_pages(
    addresses: t.Iterable[str], timeout_s: float
) -> list[tuple[str, str]]:
    """Return the address and the page of each proxy; raise click.ClickException."""
    timeout = aiohttp.ClientTimeout(total=timeout_s)
    pages = []
    try:
        async with aiohttp.ClientSession(timeout=timeout) as session:
            for address in addresses:
                async with session.get(f"http://{address}/metrics") as resp:
                    pages.append((address, await resp.text()))
    except (aiohttp.ClientError, TimeoutError) as exc:
        raise click.ClickException(f"a proxy did not answer: {exc!r}") from None
    return pages
