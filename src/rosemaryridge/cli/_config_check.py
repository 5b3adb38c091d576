"""Read configurations for `config check` and render what it finds."""

import json
import typing as t

from rosemaryridge import codes
from rosemaryridge.config_check import Assumptions
from rosemaryridge.config_check import Finding
from rosemaryridge.config_check import Severity
from rosemaryridge.config_check import check
from rosemaryridge.config_check import compare
from rosemaryridge.core import ConfigDraft
from rosemaryridge.core import EventLog
from rosemaryridge.core import StoreEra
from rosemaryridge.model import Endpoint
from rosemaryridge.platform import documents
from rosemaryridge.platform.config_fields import find_problems
from rosemaryridge.platform.store import Store


class Report(t.NamedTuple):
    """Hold the findings and the changes of one configuration."""

    findings: list[Finding]
    changes: list[str]


def make_report(
    spec: t.Any, in_force: t.Any, assumptions: Assumptions, allowed: t.Container[str]
) -> Report:
    """Return what is found in a configuration, and changed from the one in force.

    `in_force` is None without one; findings with the names in `allowed` are left out.
    """
    findings = [
        Finding(
            codes.config.UNREADABLE_FIELD if fatal else codes.config.UNKNOWN_FIELD,
            Severity.ERROR if fatal else Severity.WARNING,
            path,
            text,
        )
        for path, text, fatal in find_problems(spec)
    ]
    changes: list[str] = []
    if not any(found.severity is Severity.ERROR for found in findings):
        draft = documents.decode_draft(spec)
        findings += check(draft, assumptions)
        if in_force is not None:
            old = documents.decode_draft(in_force)
            findings += _check_version(old, draft)
            changes = compare(old, draft)
    return Report([f for f in findings if f.code.name not in allowed], changes)


def _check_version(old: ConfigDraft, new: ConfigDraft) -> t.Iterator[Finding]:
    if new.version <= old.version:
        text = f"{new.version} is not above {old.version}; proxies would ignore it"
        code = codes.config.VERSION_NOT_NEWER
        yield Finding(code, Severity.ERROR, "version", text)


async def fetch_in_force(address: str) -> t.Any:
    """Return the configuration in the store; raise StoreError or ValueError."""
    store = Store(Endpoint.parse(address), StoreEra(EventLog("ctl", 2)))
    try:
        stored = await store.get(documents.CONFIG_KIND, documents.CONFIG_NAME)
    finally:
        store.close()
    return stored.spec


def render(report: Report) -> str:
    """Return a report as text: a line per finding, then the changes."""
    lines = [
        f"{found.severity.value} {found.code.number} {found.code.name}: "
        f"{found.path or 'the configuration'}: {found.text}"
        for found in report.findings
    ]
    lines.append(f"{len(report.findings)} findings")
    if report.changes:
        lines += ["", "changes:", *(f"  {change}" for change in report.changes)]
    return "\n".join(lines)


def render_json(report: Report) -> str:
    """Return a report as JSON."""
    findings = [
        {
            "code": found.code.number,
            "name": found.code.name,
            "severity": found.severity.value,
            "path": found.path,
            "text": found.text,
        }
        for found in report.findings
    ]
    return json.dumps({"findings": findings, "changes": report.changes}, indent=2)
