"""Write through one proxy and read the write through another."""

import asyncio

import asyncpg


async def connect(port: int) -> asyncpg.Connection:
    """Log in to one proxy of the tour."""
    return await asyncpg.connect(
        host="127.0.0.1",
        port=port,
        user="shop",
        password="tour-secret",
        database="tour",
        ssl=False,
    )


async def main() -> None:
    """Carry a token from one proxy to the other."""
    first, second = await connect(6412), await connect(6422)
    await first.execute("CREATE TABLE IF NOT EXISTS picks (scent text NOT NULL)")
    await first.execute("INSERT INTO picks (scent) VALUES ($1)", "rosemary")
    token = await first.fetchval("SHOW rosemaryridge.token")
    await second.execute(f"SET rosemaryridge.token = '{token}'")
    rows = await second.fetch("SELECT count(*) AS picks FROM picks")
    print(f"token {token}; the other proxy sees {rows[0]['picks']} picks")
    await first.close()
    await second.close()


if __name__ == "__main__":
    asyncio.run(main())
