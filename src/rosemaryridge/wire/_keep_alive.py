"""Let the kernel find silent connections."""

import dataclasses
import socket

import asyncpg


@dataclasses.dataclass(frozen=True, slots=True)
class KeepAlive:
    """Set how fast the kernel gives up a silent connection, in seconds."""

    idle_s: int = 5
    interval_s: int = 2
    probes: int = 3
    user_timeout_s: float = 10.0


def set_keep_alive(conn: asyncpg.Connection, keep_alive: KeepAlive) -> None:
    """Let the kernel find a silent connection."""
    sock = conn._transport.get_extra_info("socket")
    if sock is None or sock.family == socket.AF_UNIX:
        return
    tcp = socket.IPPROTO_TCP
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(tcp, socket.TCP_KEEPIDLE, keep_alive.idle_s)
    sock.setsockopt(tcp, socket.TCP_KEEPINTVL, keep_alive.interval_s)
    sock.setsockopt(tcp, socket.TCP_KEEPCNT, keep_alive.probes)
    timeout_ms = int(keep_alive.user_timeout_s * 1000)
    sock.setsockopt(tcp, socket.TCP_USER_TIMEOUT, timeout_ms)
