"""Read from proxies which targets they own and what waits there."""

import re
import typing as t

_SAMPLE = re.compile(
    r"rosemaryridge_entry_owner_(connections|waiting|running)"
    r'\{service="([^"]*)",target="([^"]*)"\} (\S+)'
)
HEADER = ("service", "target", "proxy", "connections", "running", "waiting")

Samples = dict[tuple[str, str, str], dict[str, float]]


def add_samples(found: Samples, address: str, text: str) -> None:
    """Add the metrics page of the proxy at an address."""
    for name, service, target, value in _SAMPLE.findall(text):
        found.setdefault((service, target, address), {})[name] = float(value)


def rows(found: Samples) -> list[tuple[t.Any, ...]]:
    """Return the columns of HEADER for each target and proxy that holds connections."""
    return [
        (*key, *(int(values.get(name, 0)) for name in HEADER[3:]))
        for key, values in sorted(found.items())
    ]
