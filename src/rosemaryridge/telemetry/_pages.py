"""Register the sections, conditions and commands of the admin port."""

import typing as t

Provider = t.Callable[[], t.Any]
Condition = t.Callable[[], bool]
Command = t.Callable[[t.Mapping[str, str]], t.Awaitable[t.Any]]
Refresh = t.Callable[[], None]

_T = t.TypeVar("_T")


class UnknownPage(KeyError):
    """Report a section or command that is not registered."""


class Pages:
    """Hold the sections, conditions and commands of one process, by name."""

    def __init__(self) -> None:
        self._providers: dict[str, Provider] = {}
        self._conditions: dict[str, Condition] = {}
        self._commands: dict[str, Command] = {}
        self._refreshes: list[Refresh] = []

    def section(self, name: str) -> t.Callable[[Provider], Provider]:
        """Register the provider of a section of the status page."""
        return _registering_decorator(self._providers, name)

    def condition(self, name: str) -> t.Callable[[Condition], Condition]:
        """Register a condition that must hold for the process to be ready."""
        return _registering_decorator(self._conditions, name)

    def command(self, name: str) -> t.Callable[[Command], Command]:
        """Register a command; it raises ValueError for wrong arguments."""
        return _registering_decorator(self._commands, name)

    def gauge_refresher(self, refresh: Refresh) -> Refresh:
        """Register a callback that sets gauges before the metrics are rendered."""
        self._refreshes.append(refresh)
        return refresh

    def status(self, names: t.Iterable[str] = ()) -> dict[str, t.Any]:
        """Return the named sections, by default all; raise UnknownPage."""
        wanted = tuple(names) or tuple(sorted(self._providers))
        return {name: _look_up(self._providers, name)() for name in wanted}

    def unmet_conditions(self) -> tuple[str, ...]:
        """Return the names of the conditions that do not hold."""
        return tuple(name for name, holds in self._conditions.items() if not holds())

    async def run_command(self, name: str, args: t.Mapping[str, str]) -> t.Any:
        """Run a command and return its result; raise UnknownPage or ValueError."""
        return await _look_up(self._commands, name)(args)

    def refresh_gauges(self) -> None:
        """Call every callback that sets gauges."""
        for refresh in self._refreshes:
            refresh()


def _registering_decorator(registry: dict[str, _T], name: str) -> t.Callable[[_T], _T]:
    def register(item: _T) -> _T:
        if name in registry:
            raise ValueError(f"{name!r} is already registered")
        registry[name] = item
        return item

    return register


def _look_up(registry: dict[str, _T], name: str) -> _T:
    if name not in registry:
        raise UnknownPage(name)
    return registry[name]
