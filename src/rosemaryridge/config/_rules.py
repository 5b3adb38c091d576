"""Check constraints within one file beyond the types of its fields."""

import collections
import re
import typing as t
import urllib.parse

from rosemaryridge.config._check import Problem
from rosemaryridge.config._check import format_value
from rosemaryridge.config._check import rule
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
_SHARES_TOLERANCE = 1e-9

Problems = t.Iterator[Problem]


@rule(FaultSettings)
def check_switches(faults: FaultSettings) -> Problems:
    """Reject test-only fault switches unless they are enabled."""
    if faults.enabled:
        return
    for name in faults.__slots__:
        if getattr(faults, name):
            yield Problem(name, "true", "false unless faults.enabled is true")


@rule(PlatformSettings)
def check_base_url(platform: PlatformSettings) -> Problems:
    """Reject a base URL without an HTTP or HTTPS scheme and a host."""
    url = urllib.parse.urlsplit(platform.base_url)
    if url.scheme not in ("http", "https") or not url.netloc:
        yield Problem(
            "base_url", format_value(platform.base_url), "http(s)://host:port"
        )


@rule(TargetsSettings)
def check_password(targets: TargetsSettings) -> Problems:
    """Reject a password together with a password file."""
    if targets.password and targets.password_file:
        yield Problem("password_file", "both this and password", "only one of them")


@rule(ProxySettings)
def check_listeners(settings: ProxySettings) -> Problems:
    """Reject two listeners on the same address."""
    seen: dict[str, str] = {}
    for section in ("callers", "peers", "admin"):
        endpoint = getattr(settings, section).listen
        other = seen.setdefault(str(endpoint), section)
        if other != section and endpoint.port != 0:
            where = f"{section}.listen"
            yield Problem(
                where, f"'{endpoint}'", f"an address other than {other}.listen"
            )


@rule(RequestRule)
def check_pattern(request_rule: RequestRule) -> Problems:
    """Reject a pattern that is not a valid regular expression."""
    try:
        re.compile(request_rule.pattern)
    except (re.error, OverflowError, RecursionError) as exc:
        yield Problem("pattern", f"{exc}", "a regular expression")


@rule(AccountConfig)
def check_verifier(account: AccountConfig) -> Problems:
    """Reject a verifier that is not in the format that PostgreSQL stores."""
    if not _VERIFIER.fullmatch(account.verifier):
        yield Problem("verifier", "a secret", "SCRAM-SHA-256$rounds:salt$stored:server")


@rule(ServiceConfig)
def check_service_name(service: ServiceConfig) -> Problems:
    """Reject a name that cannot be both a database name and an object name."""
    if not _SERVICE_NAME.fullmatch(service.name):
        allowed = "1 to 63 of a-z, 0-9, '_', '.', '-', starting with a-z or 0-9"
        yield Problem("name", format_value(service.name), allowed)


@rule(ServiceConfig)
def check_unique(service: ServiceConfig) -> Problems:
    """Reject duplicate names, addresses or users within a list."""
    yield from _find_duplicates("targets", "name", service.targets)
    yield from _find_duplicates("targets", "endpoint", service.targets)
    yield from _find_duplicates("accounts", "user", service.accounts)
    yield from _find_duplicates("businesses", "name", service.businesses)
    yield from _find_duplicates("rules", "name", service.rules)


@rule(ServiceConfig)
def check_account_businesses(service: ServiceConfig) -> Problems:
    """Reject an account whose business is missing from the file."""
    names = [business.name for business in service.businesses]
    for i, account in enumerate(service.accounts):
        if account.business not in names:
            allowed = (
                f"one of {', '.join(names)}" if names else "an entry of businesses"
            )
            path = f"accounts[{i}].business"
            yield Problem(path, format_value(account.business), allowed)


@rule(ServiceConfig)
def check_shares(service: ServiceConfig) -> Problems:
    """Reject shares whose sum exceeds 1."""
    total = sum(business.share for business in service.businesses)
    if total > 1.0 + _SHARES_TOLERANCE:
        yield Problem(
            "businesses", f"shares that sum to {total:g}", "a sum of at most 1"
        )


@rule(ServiceConfig)
def check_slots(service: ServiceConfig) -> Problems:
    """Reject a target with more slots than connections."""
    for i, target in enumerate(service.targets):
        if target.slots > target.max_connections:
            allowed = f"at most max_connections ({target.max_connections})"
            yield Problem(f"targets[{i}].slots", str(target.slots), allowed)


@rule(ServiceConfig)
def check_read_functions(service: ServiceConfig) -> Problems:
    """Reject names that no statement matches: empty or not in lower case."""
    for i, name in enumerate(service.read_functions):
        if name != name.lower() or not name:
            yield Problem(
                f"read_functions[{i}]", format_value(name), "a name in lower case"
            )


def _find_duplicates(section: str, key: str, entries: tuple[t.Any, ...]) -> Problems:
    counts = collections.Counter(str(getattr(entry, key)) for entry in entries)
    for i, entry in enumerate(entries):
        value = str(getattr(entry, key))
        if counts[value] > 1:
            yield Problem(
                f"{section}[{i}].{key}", format_value(value), "a unique value"
            )
