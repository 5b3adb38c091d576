"""Check services against each other."""

import collections
import dataclasses
import typing as t

from rosemaryridge.config._check import Fault
from rosemaryridge.config._check import format_value
from rosemaryridge.config._service import ServiceConfig


@dataclasses.dataclass(frozen=True, slots=True)
class SourcedService:
    """Hold a service and its source, a file or the object store."""

    source: str
    service: ServiceConfig


@dataclasses.dataclass(frozen=True, slots=True)
class _Use:
    """Describe one use of a value that only one owner may use."""

    source: str
    path: str
    value: str
    owner: str


Check = t.Callable[[t.Sequence[SourcedService]], t.Iterator[Fault]]

_CHECKS: list[Check] = []


def register_check(check: Check) -> Check:
    """Register a check that compares all services."""
    _CHECKS.append(check)
    return check


def check_cross_service(services: t.Sequence[SourcedService]) -> tuple[Fault, ...]:
    """Return all faults found by comparing services."""
    return tuple(fault for check in _CHECKS for fault in check(services))


@register_check
def check_names(services: t.Sequence[SourcedService]) -> t.Iterator[Fault]:
    """Reject a service that is defined in two files."""
    uses = [_Use(s.source, "name", s.service.name, s.source) for s in services]
    yield from _find_conflicts(uses, "a service defined in only one file")


@register_check
def check_endpoints(services: t.Sequence[SourcedService]) -> t.Iterator[Fault]:
    """Reject a target address that two services use."""
    uses = [
        _Use(s.source, f"targets[{i}].endpoint", str(target.endpoint), s.service.name)
        for s in services
        for i, target in enumerate(s.service.targets)
    ]
    yield from _find_conflicts(uses, "an address in only one service")


@register_check
def check_target_names(services: t.Sequence[SourcedService]) -> t.Iterator[Fault]:
    """Reject a target name that two services use."""
    uses = [
        _Use(s.source, f"targets[{i}].name", target.name, s.service.name)
        for s in services
        for i, target in enumerate(s.service.targets)
    ]
    yield from _find_conflicts(uses, "a target's name in only one service")


@register_check
def check_accounts(services: t.Sequence[SourcedService]) -> t.Iterator[Fault]:
    """Reject an account that belongs to different businesses in two services."""
    uses = [
        _Use(s.source, f"accounts[{i}].user", account.user, account.business)
        for s in services
        for i, account in enumerate(s.service.accounts)
    ]
    yield from _find_conflicts(uses, "the same business for an account in all services")


def _find_conflicts(uses: list[_Use], allowed: str) -> t.Iterator[Fault]:
    owners: dict[str, set[str]] = collections.defaultdict(set)
    for use in uses:
        owners[use.value].add(use.owner)
    for use in uses:
        others = owners[use.value] - {use.owner}
        if others:
            found = (
                f"{format_value(use.value)}, also used by {', '.join(sorted(others))}"
            )
            yield Fault(use.source, use.path, found, allowed)
