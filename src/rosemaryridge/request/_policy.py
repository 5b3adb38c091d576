"""Find the configured rule that applies to a statement."""

import collections
import re

from rosemaryridge.config import RequestRule
from rosemaryridge.config import ServiceConfig

_CACHE_SIZE = 4096
_NO_RULE = RequestRule("default", "")


class ServicePolicy:
    """Match statements against the rules of a service's configuration revision."""

    def __init__(self, service: ServiceConfig):
        self.service = service
        self.read_functions = frozenset(service.read_functions)
        self.accounts = {account.user: account for account in service.accounts}
        self._rules = tuple(
            (re.compile(rule.pattern, re.IGNORECASE), rule) for rule in service.rules
        )
        self._cache: collections.OrderedDict[str, RequestRule] = (
            collections.OrderedDict()
        )

    def rule(self, text: str) -> RequestRule:
        """Return the first rule that matches a statement, or the default rule."""
        if not self._rules:
            return _NO_RULE
        rule = self._cache.get(text)
        if rule is None:
            rule = self._first_match(text)
            self._cache[text] = rule
            if len(self._cache) > _CACHE_SIZE:
                self._cache.popitem(last=False)
        return rule

    def _first_match(self, text: str) -> RequestRule:
        for pattern, rule in self._rules:
            if pattern.search(text):
                return rule
        return _NO_RULE
