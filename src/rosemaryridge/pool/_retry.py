"""Budget retries by business."""

from rosemaryridge.config import ServiceConfig

_FIRST_TOKENS = 2.0
_MAX_TOKENS = 10.0
_DEFAULT_RATIO = 0.1


class RetryBudget:
    """Allow each business retries in proportion to its successes."""

    def __init__(self) -> None:
        self._ratio: dict[str, float] = {}
        self._tokens: dict[str, float] = {}

    def adopt(self, service: ServiceConfig) -> None:
        """Take over the retry ratios of a service's businesses."""
        for business in service.businesses:
            self._ratio[business.name] = business.retry_ratio

    def on_success(self, business: str) -> None:
        """Earn the business's share of a retry."""
        earned = self._ratio.get(business, _DEFAULT_RATIO)
        tokens = self._tokens.get(business, _FIRST_TOKENS) + earned
        self._tokens[business] = min(_MAX_TOKENS, tokens)

    def allow(self, business: str) -> bool:
        """Spend one retry where the budget holds one."""
        tokens = self._tokens.get(business, _FIRST_TOKENS)
        if tokens < 1.0:
            return False
        self._tokens[business] = tokens - 1.0
        return True
