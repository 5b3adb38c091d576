"""Explain how a statement would be classed and routed."""

import dataclasses

from rosemaryridge.config import RequestRule
from rosemaryridge.exceptions import Refusal
from rosemaryridge.proxy._parts import Parts
from rosemaryridge.request import ServicePolicy
from rosemaryridge.routing import Need
from rosemaryridge.sql import Statement


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Say what the proxy would do with one statement now.

    `target` is one that it could choose for a caller without a session; the choice
    among equals is random. `refusal` is what it would answer instead.
    """

    statement: str
    kind: str
    is_read: bool
    reason: str
    rule: str
    max_age_s: float | None
    idempotent: bool
    priority: str
    target: str
    refusal: str


def explain(parts: Parts, service: str, text: str) -> list[Explanation]:
    """Explain each statement of a text; raise Refusal for an unknown service."""
    policy = parts.policy(service)
    found = parts.statements.statements(text)
    return [_explain(parts, policy, statement) for statement in found]


def _explain(parts: Parts, policy: ServicePolicy, statement: Statement) -> Explanation:
    rule = policy.rule(statement.text)
    is_read = statement.is_read(policy.read_functions)
    target, refusal = _route(parts, policy, rule, is_read)
    return Explanation(
        statement.text.strip(),
        statement.kind.value,
        is_read,
        statement.reason or _unlisted(policy, statement),
        rule.name,
        rule.max_age_s,
        is_read or rule.idempotent,
        rule.priority.name.lower(),
        target,
        refusal,
    )


def _unlisted(policy: ServicePolicy, statement: Statement) -> str:
    unlisted = sorted(statement.functions - policy.read_functions)
    return f"calls {', '.join(unlisted)}, not in read_functions" if unlisted else ""


def _route(
    parts: Parts, policy: ServicePolicy, rule: RequestRule, is_read: bool
) -> tuple[str, str]:
    need = Need(write=not is_read, max_age_s=rule.max_age_s)
    service = policy.service
    view = parts.group.view(service.name)
    try:
        return parts.router.choose(service, view, need, parts.timer.now()), ""
    except Refusal as exc:
        return "", str(exc)
