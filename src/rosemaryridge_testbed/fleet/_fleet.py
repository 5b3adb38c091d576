"""Run a fleet of emulators and proxies."""

import asyncio
import json
import pathlib
import signal
import tempfile
import types
import typing as t

import asyncpg

from rosemaryridge.config import encode_service
from rosemaryridge_testbed.fleet._admin import Admin
from rosemaryridge_testbed.fleet._options import DOMAINS
from rosemaryridge_testbed.fleet._options import PASSWORD
from rosemaryridge_testbed.fleet._options import SERVICE
from rosemaryridge_testbed.fleet._options import USER
from rosemaryridge_testbed.fleet._options import FleetOptions
from rosemaryridge_testbed.fleet._options import proxy_settings
from rosemaryridge_testbed.fleet._options import service_config
from rosemaryridge_testbed.fleet._ports import free_ports
from rosemaryridge_testbed.fleet._processes import Processes
from rosemaryridge_testbed.fleet._wait import eventually

_EMULATOR = "rosemaryridge_testbed.cli.standin"
_PROXY = "rosemaryridge.cli.proxy"
_START_TIMEOUT_S = 60.0


class Fleet:
    """Start the processes on entry and end them on exit.

    Links: `t1/p2` connects proxy p2 to target t1, `t2<t1` connects replica t2 to its
    primary t1, and `caller-p1` connects callers to p1.
    """

    def __init__(self, options: FleetOptions | None = None):
        self.options = options or FleetOptions()
        self.targets = [f"t{i + 1}" for i in range(self.options.targets)]
        self.proxies = [f"p{i + 1}" for i in range(self.options.proxies)]
        self._dir = tempfile.TemporaryDirectory(prefix="rosemaryridge-fleet-")
        self.directory = pathlib.Path(self._dir.name)
        self.processes = Processes(self.directory)
        self.ports = free_ports(self._port_names())
        self.admin: Admin

    def _port_names(self) -> t.Iterator[str]:
        yield from ("platform", "links-admin")
        for target in self.targets:
            yield from (target, f"{target}-admin", f"{target}-public")
            yield from (self.replica_link(target, up) for up in self._others(target))
        for proxy in self.proxies:
            yield from (proxy, f"{proxy}-peer", f"{proxy}-admin", f"caller-{proxy}")

    def _others(self, target: str) -> list[str]:
        return [name for name in self.targets if name != target]

    @staticmethod
    def replica_link(replica: str, primary: str) -> str:
        """Return the link from a replica to its primary."""
        return f"{replica}<{primary}"

    def proxy_links(self, target: str) -> list[str]:
        """Return the links from every proxy to a target."""
        return [f"{target}/{proxy}" for proxy in self.proxies]

    def replica_links(self, target: str) -> list[str]:
        """Return the replication links between a target and the others, both links."""
        others = self._others(target)
        pairs = [(target, other) for other in others]
        pairs += [(other, target) for other in others]
        return [self.replica_link(*pair) for pair in pairs]

    async def __aenter__(self) -> "Fleet":
        self.admin = Admin(self.ports)
        try:
            await self._start()
        except BaseException:
            await self.stop()
            raise
        return self

    async def __aexit__(
        self,
        _kind: type[BaseException] | None,
        _exc: BaseException | None,
        _trace: types.TracebackType | None,
    ) -> None:
        await self.stop()

    async def stop(self) -> None:
        """End every process and remove the files."""
        self.processes.end_all()
        await self.admin.close()
        self._dir.cleanup()

    async def _start(self) -> None:
        self._start_platform()
        self._start_links()
        for target in self.targets:
            self._start_target(target)
        await eventually(self.admin.platform, _START_TIMEOUT_S, "platform")
        for target in self.targets:
            await eventually(
                lambda name=target: self.admin.target(name), _START_TIMEOUT_S
            )
        await eventually(self._set_latencies, _START_TIMEOUT_S, "links")
        await self.publish_vms()
        service = service_config(self.options, self._public_ports())
        await self.admin.put_object("service", SERVICE, encode_service(service), 0)
        for index, proxy in enumerate(self.proxies):
            self._start_proxy(proxy, index)
        for proxy in self.proxies:
            await eventually(lambda vm=proxy: self.answers(vm), _START_TIMEOUT_S, proxy)

    def _public_ports(self) -> dict[str, int]:
        return {name: self.ports[f"{name}-public"] for name in self.targets}

    def _start_platform(self) -> None:
        port = str(self.ports["platform"])
        self.processes.start("platform", _EMULATOR, "platform", "--port", port)

    def _start_links(self) -> None:
        ports = self.ports
        links = []
        for target in self.targets:
            public = ports[f"{target}-public"]
            links.append(f"{target}={public}:127.0.0.1:{ports[target]}:by-user")
            for upstream in self._others(target):
                name = self.replica_link(target, upstream)
                links.append(f"{name}={ports[name]}:127.0.0.1:{ports[upstream]}")
        for proxy in self.proxies:
            name = f"caller-{proxy}"
            links.append(f"{name}={ports[name]}:127.0.0.1:{ports[proxy]}")
        admin = str(ports["links-admin"])
        seed = str(self.options.seed)
        args = ("fault-proxy", "--admin-port", admin, "--seed", seed, *links)
        self.processes.start("links", _EMULATOR, *args)

    def _start_target(self, name: str) -> None:
        options, ports = self.options, self.ports
        knobs = {
            "slots": options.slots,
            "max_connections": options.max_connections,
            "connect_ms": options.connect_ms,
        }
        args = ["target", "--name", name, "--port", str(ports[name])]
        args += ["--admin-port", str(ports[f"{name}-admin"])]
        args += ["--knobs", json.dumps(knobs)]
        if options.keep_logs:
            data = self.directory / f"{name}-data"
            data.mkdir()
            args += ["--data-dir", str(data)]
        for other in self._others(name):
            public = f"127.0.0.1:{ports[f'{other}-public']}"
            link = f"127.0.0.1:{ports[self.replica_link(name, other)]}"
            args += ["--route", f"{public}={link}"]
        if name != self.targets[0]:
            first = ports[f"{self.targets[0]}-public"]
            args += ["--follow", f"127.0.0.1:{first}"]
        self.processes.start(name, _EMULATOR, *args)

    def _start_proxy(self, vm: str, index: int) -> None:
        settings = proxy_settings(vm, index, self.ports, self.options)
        path = self.directory / f"{vm}.json"
        path.write_text(json.dumps(settings, indent=2))
        self.processes.start(vm, _PROXY, "--settings", str(path))

    async def answers(self, vm: str) -> bool:
        """Return whether a proxy answers; raise RuntimeError if its process ended."""
        if self.processes.exit_status(vm) is not None:
            raise RuntimeError(f"{vm} ended:\n{self.tail(vm)}")
        conn = await self.connect(vm, timeout=2.0)
        try:
            await conn.fetchval("SELECT 1", timeout=2.0)
        finally:
            conn.terminate()
        return True

    async def _set_latencies(self) -> bool:
        ms = self.options.latencies
        jitter = ms.jitter_ms
        for target in self.targets:
            links = self.proxy_links(target)
            await self.admin.set_links(
                *links, latency_ms=ms.target_ms, jitter_ms=jitter
            )
            links = self.replica_links(target)
            await self.admin.set_links(*links, latency_ms=ms.replica_ms)
        callers = [f"caller-{proxy}" for proxy in self.proxies]
        await self.admin.set_links(*callers, latency_ms=ms.caller_ms)
        return True

    async def publish_vms(self, leaving: t.Collection[str] = ()) -> None:
        """Put the proxies on the platform's VM list."""
        vms = [
            {
                "vm": vm,
                "address": f"127.0.0.1:{self.ports[vm + '-peer']}",
                "failure_domain": DOMAINS[index % len(DOMAINS)],
                "leaving": vm in leaving,
            }
            for index, vm in enumerate(self.proxies)
        ]
        await self.admin.set_vms(vms)

    async def connect(self, vm: str, **options: t.Any) -> asyncpg.Connection:
        """Open a caller's connection to a proxy, through the callers' link."""
        options.setdefault("timeout", 10.0)
        return await asyncpg.connect(
            host="127.0.0.1",
            port=self.ports[f"caller-{vm}"],
            user=USER,
            password=PASSWORD,
            database=SERVICE,
            ssl=False,
            **options,
        )

    async def connect_target(self, name: str) -> asyncpg.Connection:
        """Open a connection to a target, bypassing proxies and links."""
        port = self.ports[name]
        return await asyncpg.connect(
            host="127.0.0.1", port=port, user="test", database=SERVICE, ssl=False
        )

    async def cut_off(self, target: str, cut: bool = True, replicas: bool = True):
        """Cut or restore a target's links to all proxies and, if asked, targets."""
        links = self.proxy_links(target)
        links += self.replica_links(target) if replicas else []
        await self.admin.set_links(*links, cut_up=cut, cut_down=cut)

    async def primary(self) -> str | None:
        """Return the writable target of the highest term."""
        primaries = [state for state in await self.states() if state["writable"]]
        best = max(primaries, key=lambda state: state["term"], default=None)
        return best["name"] if best else None

    async def states(self) -> list[dict[str, t.Any]]:
        """Return the states of the targets that answer."""
        answers = await asyncio.gather(
            *(self.admin.target(name) for name in self.targets), return_exceptions=True
        )
        return [answer for answer in answers if isinstance(answer, dict)]

    async def converged(self) -> str | None:
        """Return the primary if every target received and applied the same position."""
        states = await self.states()
        primaries = [state["name"] for state in states if state["writable"]]
        positions = {state[key] for state in states for key in ("received", "applied")}
        complete = len(states) == len(self.targets) and len(positions) == 1
        return primaries[0] if complete and len(primaries) == 1 else None

    async def writable_with_replicas(self) -> bool:
        """Return whether there is one primary and all targets are in one term."""
        states = await self.states()
        roles = [state["role"] for state in states]
        terms = {state["received"].partition("/")[0] for state in states}
        complete = len(states) == len(self.targets) and len(terms) == 1
        return complete and roles.count("primary") == 1

    def pause(self, name: str) -> None:
        """Suspend a process."""
        self.processes.signal(name, signal.SIGSTOP)

    def resume(self, name: str) -> None:
        """Resume a suspended process."""
        self.processes.signal(name, signal.SIGCONT)

    def tail(self, name: str, lines: int = 30) -> str:
        """Return the last lines of a process's output."""
        text = self.processes.log(name).read_text(errors="replace")
        return "\n".join(text.splitlines()[-lines:])
