"""Detect peers that disappear without closing their TCP connection."""

import asyncio
import socket

# TCP keepalive detects a dead or unreachable peer: idle time, interval and count.
_KEEPALIVE_IDLE_S = 2
_KEEPALIVE_INTERVAL_S = 1
_KEEPALIVE_PROBES = 3
# A connection with unacknowledged data fails after this, as long as the probes take.
_USER_TIMEOUT_MS = 5000


def enable_keepalive(transport: asyncio.BaseTransport) -> None:
    """Enable TCP keepalive to detect a peer that disappeared without closing."""
    sock = transport.get_extra_info("socket")
    if sock is None or sock.family != socket.AF_INET:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, _KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, _KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, _KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, _USER_TIMEOUT_MS)
