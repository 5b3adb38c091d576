"""Start, signal and end child processes."""

import os
import pathlib
import signal
import subprocess
import sys
import typing as t

import rosemaryridge

_END_TIMEOUT_S = 5.0


class Processes:
    """Run named processes with their output in files of a directory."""

    def __init__(
        self, directory: pathlib.Path, variables: t.Mapping[str, str] | None = None
    ):
        self._directory = directory
        self._variables = variables or {}
        self._running: dict[str, subprocess.Popen] = {}
        self._commands: dict[str, tuple[str, ...]] = {}

    def start(self, name: str, module: str, *args: str) -> None:
        """Start a module as a process."""
        self._commands[name] = (module, *args)
        self.restart(name)

    def restart(self, name: str) -> None:
        """Restart a process that has ended."""
        module, *args = self._commands[name]
        source = pathlib.Path(rosemaryridge.__file__).parents[1]
        environ = {**os.environ, **self._variables, "PYTHONPATH": str(source)}
        with self.log(name).open("ab") as output:
            self._running[name] = subprocess.Popen(
                [sys.executable, "-m", module, *args],
                env=environ,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def log(self, name: str) -> pathlib.Path:
        """Return the file of a process's output."""
        return self._directory / f"{name}.log"

    def pid(self, name: str) -> int:
        """Return a process's id."""
        return self._running[name].pid

    def signal(self, name: str, number: signal.Signals) -> None:
        """Send a signal to one process."""
        self._running[name].send_signal(number)

    def exit_status(self, name: str) -> int | None:
        """Return the exit status, None while the process runs."""
        return self._running[name].poll()

    def dead(self) -> list[str]:
        """Return the names of the processes that have ended."""
        return [name for name, proc in self._running.items() if proc.poll() is not None]

    def kill(self, name: str) -> None:
        """Kill a process and wait for its end."""
        proc = self._running[name]
        proc.kill()
        proc.wait(_END_TIMEOUT_S)

    def end_all(self) -> None:
        """Terminate every process, and kill those that do not end in time."""
        for proc in self._running.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.terminate()
        for proc in self._running.values():
            try:
                proc.wait(_END_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                proc.kill()
                proc.wait(_END_TIMEOUT_S)
