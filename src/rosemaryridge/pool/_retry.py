"""Limit retries per business."""

from rosemaryridge.config import ServiceConfig

_INITIAL_TOKENS = 2.0
_MAX_TOKENS = 10.0
_DEFAULT_RATIO = 0.1


class RetryBudget:
    """Limit the retries of each business to a ratio of its successes."""

    def __init__(self) -> None:
        self._ratios: dict[str, float] = {}
        self._tokens: dict[str, float] = {}

    def adopt(self, service: ServiceConfig) -> None:
        """Apply the retry ratios of a service's businesses."""
        for business in service.businesses:
            self._ratios[business.name] = business.retry_ratio

    def on_success(self, business: str) -> None:
        """Add the retry ratio of a business to its tokens."""
        earned = self._ratios.get(business, _DEFAULT_RATIO)
        tokens = self._tokens.get(business, _INITIAL_TOKENS) + earned
        self._tokens[business] = min(_MAX_TOKENS, tokens)

    def try_consume(self, business: str) -> bool:
        """Consume a token for a retry; return whether a token was available."""
        tokens = self._tokens.get(business, _INITIAL_TOKENS)
        if tokens < 1.0:
            return False
        self._tokens[business] = tokens - 1.0
        return True
