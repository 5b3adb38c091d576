"""Configure a fleet and the settings of its processes."""

import base64
import dataclasses
import hashlib
import hmac
import typing as t

from rosemaryridge.config import AccountConfig
from rosemaryridge.config import BusinessConfig
from rosemaryridge.config import RequestRule
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import TargetConfig
from rosemaryridge.model import Endpoint

SERVICE = "shop"
USER = "checkout"
BUSINESS = "shop"
PASSWORD = "checkout-secret"
DOMAINS = ("north", "south", "east")
_ITERATIONS = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class Latencies:
    """Set one-way latencies in milliseconds.

    `target_ms` applies between proxies and targets, `replica_ms` between targets, and
    `caller_ms` between callers and proxies.
    """

    target_ms: float = 0.0
    replica_ms: float = 0.0
    caller_ms: float = 0.0
    jitter_ms: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class FleetOptions:
    """Configure a fleet; `settings` override those of every proxy by section."""

    targets: int = 3
    proxies: int = 3
    seed: int = 1
    latencies: Latencies = Latencies()
    slots: int = 5
    max_connections: int = 140
    connect_ms: float = 0.0
    keep_logs: bool = True
    settings: t.Mapping[str, t.Any] = dataclasses.field(default_factory=dict)
    rules: tuple[RequestRule, ...] = ()


def scram_verifier(password: str, salt: bytes) -> str:
    """Return a SCRAM-SHA-256 verifier as PostgreSQL stores it."""
    salted_password = hashlib.pbkdf2_hmac(
        "sha256", password.encode(), salt, _ITERATIONS
    )
    client = hmac.digest(salted_password, b"Client Key", "sha256")
    stored = base64.b64encode(hashlib.sha256(client).digest()).decode()
    server = base64.b64encode(
        hmac.digest(salted_password, b"Server Key", "sha256")
    ).decode()
    encoded = base64.b64encode(salt).decode()
    return f"SCRAM-SHA-256${_ITERATIONS}:{encoded}${stored}:{server}"


def service_config(options: FleetOptions, ports: t.Mapping[str, int]) -> ServiceConfig:
    """Return the fleet's only service; `ports` are the targets' public ports."""
    targets = tuple(
        TargetConfig(
            name=name,
            endpoint=Endpoint("127.0.0.1", port),
            failure_domain=DOMAINS[index % len(DOMAINS)],
            slots=options.slots,
            max_connections=options.max_connections,
        )
        for index, (name, port) in enumerate(ports.items())
    )
    account = AccountConfig(USER, BUSINESS, scram_verifier(PASSWORD, b"rosemaryridge"))
    return ServiceConfig(
        name=SERVICE,
        revision=0,
        database=SERVICE,
        targets=targets,
        accounts=(account,),
        businesses=(BusinessConfig(BUSINESS),),
        rules=options.rules,
    )


def proxy_settings(
    vm: str, index: int, ports: t.Mapping[str, int], options: FleetOptions
) -> dict[str, t.Any]:
    """Return one proxy's settings; links select its channel by its target user."""
    settings = {
        "vm": vm,
        "failure_domain": DOMAINS[index % len(DOMAINS)],
        "seed": options.seed * 100 + index + 1,
        "platform": {"base_url": f"http://127.0.0.1:{ports['platform']}"},
        "callers": {"listen": f"127.0.0.1:{ports[vm]}"},
        "peers": {"listen": f"127.0.0.1:{ports[vm + '-peer']}"},
        "admin": {"listen": f"127.0.0.1:{ports[vm + '-admin']}"},
        "targets": {"user": vm},
    }
    for section, values in options.settings.items():
        settings[section] = {**settings.get(section, {}), **values}
    return settings
