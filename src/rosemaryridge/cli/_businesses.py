"""Sum what proxies tell of the quotas of businesses."""

import collections
import re
import typing as t

_SAMPLE = re.compile(r'rosemaryridge_entry_(quota_\w+)\{business="([^"]*)"(.*)\} (\S+)')
_OUTCOME = re.compile(r',outcome="(\w+)"')

Totals = dict[str, collections.Counter[str]]


def add_samples(totals: Totals, text: str) -> None:
    """Add the quota metrics of one proxy."""
    for name, business, rest, value in _SAMPLE.findall(text):
        found = totals.setdefault(business, collections.Counter())
        outcome = _OUTCOME.match(rest)
        found[outcome.group(1) if outcome else name] += float(value)
        if name == "quota_tokens":
            found["exhausted"] += float(value) < 1.0


def rows(totals: Totals) -> list[tuple[t.Any, ...]]:
    """Return the columns of HEADER for each business, the most refused first."""
    ordered = sorted(totals.items(), key=lambda item: (-item[1]["refused"], item[0]))
    return [
        (
            business,
            int(found["granted"]),
            int(found["refused"]),
            int(found["unanswered"]),
            round(found["quota_tokens"], 1),
            found["exhausted"] > 0,
        )
        for business, found in ordered
    ]


HEADER = ("business", "granted", "refused", "unanswered", "tokens", "at_limit")
