"""Register experiments."""

import typing as t

Row = dict[str, t.Any]
Experiment = t.Callable[[int], list[Row]]

_EXPERIMENTS: dict[str, Experiment] = {}


def experiment(name: str) -> t.Callable[[Experiment], Experiment]:
    """Register a function that takes a seed and returns rows of figures."""

    def register(function: Experiment) -> Experiment:
        _EXPERIMENTS[name] = function
        return function

    return register


def experiments() -> t.Mapping[str, Experiment]:
    """Return every experiment by name."""
    return _EXPERIMENTS
