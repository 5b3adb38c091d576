"""Keep replicas from receiving commits while their primary is being replaced."""

import asyncio
import typing as t

from rosemaryridge.core._condition import request_condition
from rosemaryridge.core._event_log import EventLog
from rosemaryridge.core._group import PROBE_TIMEOUT_S
from rosemaryridge.core._group import Group
from rosemaryridge.core._statement import TargetCondition

_TIMEOUT_S = 2 * PROBE_TIMEOUT_S


class ReplicaHold:
    """Hold the replicas of a group with synchronous replicas.

    A primary that is presumed lost may go on, and acknowledges what any replica
    receives. Once all are held, what they have received is all that was acknowledged.
    """

    def __init__(self, group: Group, log: EventLog):
        self._group = group
        self._log = log
        self._held: list[str] = []

    async def start(
        self, term: int, replicas: t.Iterable[str]
    ) -> dict[str, TargetCondition]:
        """Pause replicas; return the conditions of those that answer."""
        names = [name for name in replicas if name in self._group.targets]
        # A pause whose answer is lost may be in force.
        self._held = names
        answers = await asyncio.gather(*(self._pause(name, term) for name in names))
        conditions = {
            name: answer
            for name, answer in zip(names, answers, strict=True)
            if answer is not None
        }
        self._log.write(
            "replicas_held",
            service=self._group.service,
            term=term,
            held=[n for n, cond in conditions.items() if cond.held_term >= term],
            received={name: str(cond.received) for name, cond in conditions.items()},
        )
        return conditions

    async def release(self) -> None:
        """Let the replicas receive again, as no promotion has ended their pause."""
        held, self._held = self._held, []
        await asyncio.gather(*map(self._resume, held))

    async def _pause(self, name: str, term: int) -> TargetCondition | None:
        target = self._group.targets[name]
        return await request_condition(
            target, lambda link: link.pause(term), _TIMEOUT_S
        )

    async def _resume(self, name: str) -> None:
        target = self._group.targets.get(name)
        if target is not None:
            await request_condition(target, lambda link: link.resume(), _TIMEOUT_S)
