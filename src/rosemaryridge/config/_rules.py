"""Check what one file must hold beyond the types of its fields."""

import collections
import re
import typing as t
import urllib.parse

from rosemaryridge.config._check import Problem
from rosemaryridge.config._check import rule
from rosemaryridge.config._check import show
from rosemaryridge.config._service import AccountConfig
from rosemaryridge.config._service import RequestRule
from rosemaryridge.config._service import ServiceConfig
from rosemaryridge.config._settings import FaultSettings
from rosemaryridge.config._settings import ProxySettings
from rosemaryridge.config._settings import TargetsSettings
from rosemaryridge.objects import PlatformSettings

_VERIFIER = re.compile(
    r"SCRAM-SHA-256\$\d+:[A-Za-z0-9+/=]+\$[A-Za-z0-9+/=]+:[A-Za-z0-9+/=]+"
)
_SERVICE_NAME = re.compile(r"[a-z0-9][a-z0-9_.-]{0,62}")
_SHARES_SLACK = 1e-9

Problems = t.Iterator[Problem]


@rule(FaultSettings)
def check_switches(faults: FaultSettings) -> Problems:
    """Refuse test-only switches where they are not enabled."""
    if faults.enabled:
        return
    for name in faults.__slots__:
        if getattr(faults, name):
            yield Problem(name, "true", "false, unless faults.enabled is true")


@rule(PlatformSettings)
def check_base_url(platform: PlatformSettings) -> Problems:
    """Refuse a base URL that is not plain HTTP or HTTPS."""
    url = urllib.parse.urlsplit(platform.base_url)
    if url.scheme not in ("http", "https") or not url.netloc:
        yield Problem("base_url", show(platform.base_url), "http(s)://host:port")


@rule(TargetsSettings)
def check_password(targets: TargetsSettings) -> Problems:
    """Refuse two sources of one password."""
    if targets.password and targets.password_file:
        yield Problem("password_file", "a password as well", "one of the two")


@rule(ProxySettings)
def check_listeners(settings: ProxySettings) -> Problems:
    """Refuse two listeners on one address."""
    seen: dict[str, str] = {}
    for section in ("callers", "peers", "admin"):
        endpoint = getattr(settings, section).listen
        other = seen.setdefault(str(endpoint), section)
        if other != section and endpoint.port != 0:
            where = f"{section}.listen"
            yield Problem(where, f"'{endpoint}'", f"not the address of {other}.listen")


@rule(RequestRule)
def check_pattern(request_rule: RequestRule) -> Problems:
    """Refuse a pattern that is no regular expression."""
    try:
        re.compile(request_rule.pattern)
    except (re.error, OverflowError, RecursionError) as exc:
        yield Problem("pattern", f"{exc}", "a regular expression")


@rule(AccountConfig)
def check_verifier(account: AccountConfig) -> Problems:
    """Refuse a verifier that PostgreSQL would not store."""
    if not _VERIFIER.fullmatch(account.verifier):
        yield Problem("verifier", "a secret", "SCRAM-SHA-256$rounds:salt$stored:server")


@rule(ServiceConfig)
def check_service_name(service: ServiceConfig) -> Problems:
    """Refuse a name that does not fit a database name and an object's name."""
    if not _SERVICE_NAME.fullmatch(service.name):
        allowed = "1 to 63 of a-z, 0-9, '_', '.', '-', not starting with a sign"
        yield Problem("name", show(service.name), allowed)


@rule(ServiceConfig)
def check_unique(service: ServiceConfig) -> Problems:
    """Refuse two entries of one list under one name or address."""
    yield from _repeats("targets", "name", service.targets)
    yield from _repeats("targets", "endpoint", service.targets)
    yield from _repeats("accounts", "user", service.accounts)
    yield from _repeats("businesses", "name", service.businesses)
    yield from _repeats("rules", "name", service.rules)


@rule(ServiceConfig)
def check_account_businesses(service: ServiceConfig) -> Problems:
    """Refuse an account of a business that the file does not name."""
    known = [business.name for business in service.businesses]
    for i, account in enumerate(service.accounts):
        if account.business not in known:
            allowed = f"one of {', '.join(known)}" if known else "a named business"
            path = f"accounts[{i}].business"
            yield Problem(path, show(account.business), allowed)


@rule(ServiceConfig)
def check_shares(service: ServiceConfig) -> Problems:
    """Refuse shares that add up to more than the whole."""
    total = sum(business.share for business in service.businesses)
    if total > 1.0 + _SHARES_SLACK:
        yield Problem("businesses", f"shares of {total:g} in all", "1 at most")


@rule(ServiceConfig)
def check_slots(service: ServiceConfig) -> Problems:
    """Refuse more slots than connections."""
    for i, target in enumerate(service.targets):
        if target.slots > target.max_connections:
            allowed = f"max_connections ({target.max_connections}) at most"
            yield Problem(f"targets[{i}].slots", str(target.slots), allowed)


@rule(ServiceConfig)
def check_read_functions(service: ServiceConfig) -> Problems:
    """Refuse function names that no statement can match."""
    for i, name in enumerate(service.read_functions):
        if name != name.lower() or not name:
            yield Problem(f"read_functions[{i}]", show(name), "lower case")


def _repeats(section: str, key: str, entries: tuple[t.Any, ...]) -> Problems:
    counts = collections.Counter(str(getattr(entry, key)) for entry in entries)
    for i, entry in enumerate(entries):
        value = str(getattr(entry, key))
        if counts[value] > 1:
            yield Problem(f"{section}[{i}].{key}", show(value), "each only once")
