"""Allocate ports that no other fleet on the machine uses."""

import fcntl
import functools
import itertools
import pathlib
import random
import socket
import tempfile
import typing as t

# Below the kernel's ephemeral range, so that no outgoing connection takes a port before
# the process that was allocated the port has bound it.
_FIRST_PORT = 12_000
# In ports; several times the need of one fleet.
_BLOCK_SIZE = 500
_BLOCKS = 40
_LOCK_NAME = "rosemaryridge-ports-{}.lock"


class PortBlock:
    """Hold the lock of a block of ports until `close` or the end of this process."""

    def __init__(self, directory: pathlib.Path):
        index, self._lock = _lock_block(directory)
        first = _FIRST_PORT + index * _BLOCK_SIZE
        self.ports = range(first, first + _BLOCK_SIZE)
        # A port just allocated may not be bound yet, so it is reused last.
        self._next = itertools.cycle(random.sample(self.ports, _BLOCK_SIZE))

    def free(self, names: t.Iterable[str]) -> dict[str, int]:
        """Return a free port for each name."""
        sockets = {name: self._bind() for name in names}
        ports = {name: sock.getsockname()[1] for name, sock in sockets.items()}
        self._close_all(sockets.values())
        return ports

    def close(self) -> None:
        """Release the block."""
        self._lock.close()

    def _bind(self) -> socket.socket:
        while True:
            sock = socket.socket()
            try:
                sock.bind(("127.0.0.1", next(self._next)))
            except OSError:
                sock.close()
                continue
            return sock

    def _close_all(self, sockets: t.Iterable[socket.socket]) -> None:
        for sock in sockets:
            sock.close()


def free_ports(names: t.Iterable[str]) -> dict[str, int]:
    """Return a free port of this process's block for each name."""
    return _own_block().free(names)


@functools.cache
def _own_block() -> PortBlock:
    return PortBlock(pathlib.Path(tempfile.gettempdir()))


def _lock_block(directory: pathlib.Path) -> tuple[int, t.IO[str]]:
    """Lock the first unlocked block; raise RuntimeError if there is none."""
    for index in range(_BLOCKS):
        lock = (directory / _LOCK_NAME.format(index)).open("a")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        return index, lock
    raise RuntimeError(
        f"all {_BLOCKS} port blocks are locked; end another fleet on this machine"
    )
