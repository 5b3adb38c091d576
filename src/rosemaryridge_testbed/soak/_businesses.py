"""Define the businesses of a run and check what targets ran for them."""

import collections
import typing as t

from rosemaryridge_testbed.site import SiteBusiness
from rosemaryridge_testbed.site import SiteOptions
from rosemaryridge_testbed.site._target import ExecutedStatement
from rosemaryridge_testbed.soak._ledger import Rule

# Holds the key that the site's own clients use.
_SHOP = SiteBusiness("shop", ("u1",))
_BANK = SiteBusiness("bank", ("bank-key",))
# Sends many times its rate.
FLOOD = SiteBusiness("flood", ("flood-key",), rate_per_s=10.0, burst=10.0)
# No caller uses this one; the faults take it away and give it back.
TOGGLED_KEY = "toggled-key"
BUSINESSES = (_SHOP, _BANK, FLOOD)


def caller_business(number: int) -> SiteBusiness:
    """Return the business of a caller."""
    return (_SHOP, _BANK)[number % 2]


def businesses(with_toggled_key: bool) -> tuple[SiteBusiness, ...]:
    """Return the businesses of the next configuration."""
    if not with_toggled_key:
        return BUSINESSES
    keys = (*_SHOP.keys, TOGGLED_KEY)
    return (SiteBusiness(_SHOP.name, keys), *BUSINESSES[1:])


def count_violations(
    executed: t.Iterable[ExecutedStatement], options: SiteOptions
) -> collections.Counter[Rule]:
    """Return how often targets ran what the businesses do not allow."""
    violations: collections.Counter[Rule] = collections.Counter()
    reads: collections.deque[float] = collections.deque()
    regular = FLOOD.rate_per_s * options.quota_window_s + FLOOD.burst
    permitted = regular * (1.0 + options.quota_overage) + options.quota_slack
    for statement in executed:
        word, _, rest = statement.text.partition(" ")
        item = rest.partition(" ")[0]
        if word == "WRITE" and item.startswith("k"):
            owner = caller_business(int(item[1:]))
            violations[Rule.OWNER] += statement.business != owner.name
        if statement.text == "READ flood" and statement.business == FLOOD.name:
            reads.append(statement.at)
            while reads[0] <= statement.at - options.quota_window_s:
                reads.popleft()
            violations[Rule.QUOTA] += len(reads) > permitted
    return +violations
