"""Find what a service's configuration says of a statement."""

import collections
import re

from rosemaryridge.config import RequestRule
from rosemaryridge.config import ServiceConfig

_CACHE_SIZE = 4096
_NO_RULE = RequestRule("default", "")


class ServicePolicy:
    """Hold one revision's rules, ready to be searched."""

    def __init__(self, service: ServiceConfig):
        self.service = service
        self.read_functions = frozenset(service.read_functions)
        self.accounts = {account.user: account for account in service.accounts}
        self._rules = tuple(
            (re.compile(rule.pattern, re.IGNORECASE), rule) for rule in service.rules
        )
        self._found: collections.OrderedDict[str, RequestRule] = (
            collections.OrderedDict()
        )

    def rule(self, text: str) -> RequestRule:
        """Return the first rule that matches a statement."""
        if not self._rules:
            return _NO_RULE
        found = self._found.get(text)
        if found is None:
            found = self._search(text)
            self._found[text] = found
            if len(self._found) > _CACHE_SIZE:
                self._found.popitem(last=False)
        return found

    def _search(self, text: str) -> RequestRule:
        for pattern, rule in self._rules:
            if pattern.search(text):
                return rule
        return _NO_RULE
