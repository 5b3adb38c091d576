"""Check services against each other."""

import collections
import dataclasses
import typing as t

from rosemaryridge.config._check import Fault
from rosemaryridge.config._check import show
from rosemaryridge.config._service import ServiceConfig


@dataclasses.dataclass(frozen=True, slots=True)
class SourcedService:
    """Hold a service and the file, or the store, that it came from."""

    source: str
    service: ServiceConfig


@dataclasses.dataclass(frozen=True, slots=True)
class _Use:
    """Name one place where services could clash, and what it holds."""

    source: str
    path: str
    value: str
    owner: str


Check = t.Callable[[t.Sequence[SourcedService]], t.Iterator[Fault]]

_CHECKS: list[Check] = []


def across(check: Check) -> Check:
    """Register a check over all services."""
    _CHECKS.append(check)
    return check


def check_across(services: t.Sequence[SourcedService]) -> tuple[Fault, ...]:
    """Return every fault between services."""
    return tuple(fault for check in _CHECKS for fault in check(services))


@across
def check_names(services: t.Sequence[SourcedService]) -> t.Iterator[Fault]:
    """Refuse one service in two files."""
    uses = [_Use(s.source, "name", s.service.name, s.source) for s in services]
    yield from _clashes(uses, "only one file for a service")


@across
def check_endpoints(services: t.Sequence[SourcedService]) -> t.Iterator[Fault]:
    """Refuse one target's address in two services."""
    uses = [
        _Use(s.source, f"targets[{i}].endpoint", str(target.endpoint), s.service.name)
        for s in services
        for i, target in enumerate(s.service.targets)
    ]
    yield from _clashes(uses, "an address in only one service")


@across
def check_target_names(services: t.Sequence[SourcedService]) -> t.Iterator[Fault]:
    """Refuse one target's name in two services."""
    uses = [
        _Use(s.source, f"targets[{i}].name", target.name, s.service.name)
        for s in services
        for i, target in enumerate(s.service.targets)
    ]
    yield from _clashes(uses, "a target's name in only one service")


@across
def check_accounts(services: t.Sequence[SourcedService]) -> t.Iterator[Fault]:
    """Refuse one account that counts to two businesses."""
    uses = [
        _Use(s.source, f"accounts[{i}].user", account.user, account.business)
        for s in services
        for i, account in enumerate(s.service.accounts)
    ]
    yield from _clashes(uses, "one business for an account in all services")


def _clashes(uses: list[_Use], allowed: str) -> t.Iterator[Fault]:
    owners: dict[str, set[str]] = collections.defaultdict(set)
    for use in uses:
        owners[use.value].add(use.owner)
    for use in uses:
        others = owners[use.value] - {use.owner}
        if others:
            found = f"{show(use.value)}, as in {', '.join(sorted(others))}"
            yield Fault(use.source, use.path, found, allowed)
