"""Count and time what the proxy does."""

import aioprometheus

from rosemaryridge.codes import Code

NAMESPACE = "rosemaryridge"


class Metrics:
    """Hold every counter, gauge and histogram of one process."""

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self.refusals = self._counter("refusals_total", "Count refusals by code.")
        self.retries = self._counter("retries_total", "Count retries by reason.")
        self.statements = self._counter(
            "statements_total", "Count statements by class, target role and outcome."
        )

    def _counter(self, name: str, doc: str) -> aioprometheus.Counter:
        full_name = f"{NAMESPACE}_{name}"
        return aioprometheus.Counter(full_name, doc, registry=self.registry)

    def refuse(self, code: Code, service: str = "") -> None:
        """Count one refusal by its code."""
        self.refusals.inc({"code": code.name, "service": service})

    def retry(self, reason: str, service: str = "") -> None:
        """Count one retry by its reason."""
        self.retries.inc({"reason": reason, "service": service})
