"""Read the settings file that the platform writes for a process."""

import dataclasses
import json
import os
import typing as t

from rosemaryridge.core.owners import OwnersMode
from rosemaryridge.core.quotas import QuotaPolicy
from rosemaryridge.exceptions import SettingsError
from rosemaryridge.model import Endpoint

# Set to direct, owned or auto in the deploy file's `env`.
OWNERS_VARIABLE = "ROSEMARYRIDGE_OWNERS"
PATH_VARIABLE = "ROSEMARYRIDGE_SETTINGS"
# A change that relays pass on, or tell of, is known within 2 s: it is asked for every
# 0.8 s at the relays of the failure domain, and by these at those of the fleet. Relays
# that fall silent are noticed after 4.2 s.
_MIN_APPLY_FOR_RELAYED_MS = 6000.0
DEFAULT_PATH = "/etc/rosemaryridge/settings.json"


@dataclasses.dataclass(frozen=True, slots=True)
class VmSettings:
    """Hold the settings of a process and its VM under the project's names."""

    vm: str
    failure_domain: str
    # The region of each failure domain.
    regions: t.Mapping[str, str]
    # Whether all VMs start for the first time.
    first_start: bool
    callers: Endpoint
    readiness: Endpoint
    store: Endpoint
    promotions: Endpoint
    # First and last port for datagrams between proxies; (0, 0), any free port, if no
    # range is set.
    peer_ports: tuple[int, int]
    # Limit on open file descriptors: files and connections.
    descriptors: int
    # Whether targets are reached through owners.
    owners: OwnersMode
    # Processor and memory of the VM, to weigh it beside others.
    weight: float
    # Maximum time between SIGTERM and SIGKILL, in seconds.
    grace_s: float
    # Time for which a target takes new work after its report that it is leaving.
    drain_s: float
    # Whether a primary that is cut off goes on after a promotion of another target. The
    # platform names only whether it checks the fences of orders; where it does not,
    # nothing stops such a primary either.
    deposed_go_on: bool
    # Whether proxies may learn of changes in the store seconds late, until a relay
    # tells them that they miss one: where the bound on configurations leaves time for
    # it. Each change wakes a watch of every proxy, and a stale one costs a tenth.
    takes_changes: bool
    # How far businesses may exceed their quotas; None where quotas do not apply.
    quota_policy: QuotaPolicy | None
    # Maximum age in seconds of the configuration that authorizes callers; None if the
    # last known one is always used.
    revocation_s: float | None
    # Whether callers need a key whatever the configurations say: the platform tells
    # how fast a key that was taken away must stop working.
    requires_keys: bool


def settings_path() -> str:
    """Return the path of the settings file that the platform writes."""
    return os.environ.get(PATH_VARIABLE, DEFAULT_PATH)


def load_settings(path: str) -> VmSettings:
    """Return the settings in a file; raise SettingsError."""
    try:
        with open(path, encoding="utf-8") as file:
            data = json.load(file)
        return _decode(data)
    except OSError as exc:
        raise SettingsError((f"{path}: {exc.strerror}",)) from exc
    except KeyError as exc:
        raise SettingsError((f"{path}: required key {exc} is missing",)) from exc
    except (TypeError, ValueError, AttributeError) as exc:
        raise SettingsError((f"{path}: invalid settings: {exc}",)) from exc


def _decode(data: dict[str, t.Any]) -> VmSettings:
    bounds = data.get("bounds", {})
    listen = data["bind_addrs"]
    first, last = data.get("internal_port_range", (0, 0))
    return VmSettings(
        vm=data["node_name"],
        failure_domain=data["zone"],
        regions=dict(data.get("zones", {})),
        first_start=bool(data.get("bootstrap", True)),
        callers=Endpoint.parse(listen["front"]),
        readiness=Endpoint.parse(listen["ready"]),
        store=Endpoint.parse(data["platform"]["address"]),
        promotions=Endpoint.parse(data["cloud_api"]["address"]),
        peer_ports=(int(first), int(last)),
        descriptors=int(data["limits"]["max_fds"]),
        owners=OwnersMode(os.environ.get(OWNERS_VARIABLE, OwnersMode.AUTO.value)),
        weight=_decode_weight(data["limits"]),
        grace_s=float(bounds.get("grace_s", 6.0)),
        drain_s=float(bounds.get("drain_ms", "inf")) / 1000.0,
        deposed_go_on=not bounds.get("enforce_fencing", True),
        takes_changes=(
            float(bounds.get("config_apply_ms", 0)) >= _MIN_APPLY_FOR_RELAYED_MS
        ),
        quota_policy=_decode_quota_policy(bounds),
        revocation_s=(
            float(bounds["revoke_ms"]) / 1000.0
            if bounds.get("strict_revocation")
            else None
        ),
        requires_keys=(
            bool(bounds.get("revoke_ms")) or "tenants" in (data.get("contracts") or ())
        ),
    )


def _decode_weight(limits: dict[str, t.Any]) -> float:
    """Return the cores of a VM times its memory in GB, 1 where they are not told."""
    cores = float(limits.get("cpu_share", 1.0)) * float(limits.get("cpu_cores", 1.0))
    weight = cores * float(limits.get("memory_mb", 1000.0)) / 1000.0
    return weight if weight > 0.0 else 1.0


def _decode_quota_policy(bounds: dict[str, t.Any]) -> QuotaPolicy | None:
    if "quota_window_s" not in bounds:
        return None
    return QuotaPolicy(
        float(bounds["quota_window_s"]),
        float(bounds.get("quota_overage", 0.0)),
        float(bounds.get("quota_slack", 0.0)),
    )
