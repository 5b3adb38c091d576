"""Configure TCP keep-alive to detect unresponsive connections."""

import dataclasses
import socket

import asyncpg


@dataclasses.dataclass(frozen=True, slots=True)
class KeepAlive:
    """Bound how long an unresponsive connection stays open.

    `idle_s`, `interval_s` and `user_timeout_s` are in seconds; `probes` is a count.
    """

    idle_s: int = 5
    interval_s: int = 2
    probes: int = 3
    user_timeout_s: float = 10.0


def set_keep_alive(conn: asyncpg.Connection, keep_alive: KeepAlive) -> None:
    """Set the TCP keep-alive options of a connection; skip Unix sockets."""
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
