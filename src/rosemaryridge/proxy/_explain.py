"""Explain how a statement would be classified and routed."""

import dataclasses

from rosemaryridge.config import RequestRule
from rosemaryridge.exceptions import Refusal
from rosemaryridge.proxy._context import ProxyContext
from rosemaryridge.request import ServicePolicy
from rosemaryridge.routing import TargetRequirement
from rosemaryridge.sql import Statement


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """Describe how the proxy would handle one statement now.

    `target` is a possible choice for a caller without a session; the choice among
    equal targets is random. `refusal` is the answer if no target can be chosen.
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


def explain(ctx: ProxyContext, service: str, text: str) -> list[Explanation]:
    """Explain each statement of a text; raise Refusal for an unknown service."""
    policy = ctx.policy(service)
    statements = ctx.statements.parse(text)
    return [_explain(ctx, policy, statement) for statement in statements]


def _explain(
    ctx: ProxyContext, policy: ServicePolicy, statement: Statement
) -> Explanation:
    rule = policy.rule(statement.text)
    is_read = statement.is_read(policy.read_functions)
    target, refusal = _route(ctx, policy, rule, is_read)
    return Explanation(
        statement.text.strip(),
        statement.kind.value,
        is_read,
        statement.reason or _unlisted_functions_reason(policy, statement),
        rule.name,
        rule.max_age_s,
        is_read or rule.idempotent,
        rule.priority.name.lower(),
        target,
        refusal,
    )


def _unlisted_functions_reason(policy: ServicePolicy, statement: Statement) -> str:
    unlisted = sorted(statement.functions - policy.read_functions)
    return f"calls {', '.join(unlisted)}, not in read_functions" if unlisted else ""


def _route(
    ctx: ProxyContext, policy: ServicePolicy, rule: RequestRule, is_read: bool
) -> tuple[str, str]:
    need = TargetRequirement(write=not is_read, max_age_s=rule.max_age_s)
    service = policy.service
    view = ctx.group.view(service.name)
    try:
        return ctx.router.choose(service, view, need, ctx.timer.now()), ""
    except Refusal as exc:
        return "", str(exc)
