"""Give processes ports that no other fleet on the machine is given."""

import fcntl
import functools
import itertools
import pathlib
import random
import socket
import tempfile
import typing as t

# They lie below those that the kernel gives to outgoing connections, so that none is
# taken before the process that it is for has bound it.
_LOWEST = 12_000
# Ports; several times what one fleet asks for.
_BLOCK_SIZE = 500
_BLOCKS = 40
_LOCK_NAME = "rosemaryridge-ports-{}.lock"


class PortBlock:
    """Own a block of ports until this process ends."""

    def __init__(self, directory: pathlib.Path):
        index, self._lock = _claim(directory)
        first = _LOWEST + index * _BLOCK_SIZE
        self.ports = range(first, first + _BLOCK_SIZE)
        # A port that was given may not be bound yet; it comes round last.
        self._next = itertools.cycle(random.sample(self.ports, _BLOCK_SIZE))

    def free(self, names: t.Iterable[str]) -> dict[str, int]:
        """Return a free port for each name."""
        held = {name: self._bind() for name in names}
        ports = {name: each.getsockname()[1] for name, each in held.items()}
        self._release(held.values())
        return ports

    def close(self) -> None:
        """Give the block back."""
        self._lock.close()

    def _bind(self) -> socket.socket:
        while True:
            each = socket.socket()
            try:
                each.bind(("127.0.0.1", next(self._next)))
            except OSError:
                each.close()
                continue
            return each

    def _release(self, held: t.Iterable[socket.socket]) -> None:
        for each in held:
            each.close()


def free_ports(names: t.Iterable[str]) -> dict[str, int]:
    """Return a free port of this process's block for each name."""
    return _own_block().free(names)


@functools.cache
def _own_block() -> PortBlock:
    return PortBlock(pathlib.Path(tempfile.gettempdir()))


def _claim(directory: pathlib.Path) -> tuple[int, t.IO[str]]:
    """Lock the first block that nobody holds; raise RuntimeError if there is none."""
    for index in range(_BLOCKS):
        lock = (directory / _LOCK_NAME.format(index)).open("a")
        try:
            fcntl.flock(lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except BlockingIOError:
            lock.close()
            continue
        return index, lock
    raise RuntimeError(f"all {_BLOCKS} blocks of ports are in use")
