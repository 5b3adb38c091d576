"""Register what a process shows and does on its admin port."""

import typing as t

Provider = t.Callable[[], t.Any]
Condition = t.Callable[[], bool]
Command = t.Callable[[t.Mapping[str, str]], t.Awaitable[t.Any]]
Refresh = t.Callable[[], None]

_T = t.TypeVar("_T")


class UnknownPage(KeyError):
    """Report a section or command that no part has registered."""


class Pages:
    """Hold the sections, conditions and commands of one process, by name."""

    def __init__(self) -> None:
        self._providers: dict[str, Provider] = {}
        self._conditions: dict[str, Condition] = {}
        self._commands: dict[str, Command] = {}
        self._refreshes: list[Refresh] = []

    def section(self, name: str) -> t.Callable[[Provider], Provider]:
        """Register what gives a section of the status page."""
        return _registrar(self._providers, name)

    def condition(self, name: str) -> t.Callable[[Condition], Condition]:
        """Register what must hold for the process to be ready."""
        return _registrar(self._conditions, name)

    def command(self, name: str) -> t.Callable[[Command], Command]:
        """Register a command; it raises ValueError for wrong arguments."""
        return _registrar(self._commands, name)

    def gauges(self, refresh: Refresh) -> Refresh:
        """Register what sets gauges just before the metrics are read."""
        self._refreshes.append(refresh)
        return refresh

    def status(self, names: t.Iterable[str] = ()) -> dict[str, t.Any]:
        """Return some sections, or all; raise UnknownPage."""
        wanted = tuple(names) or tuple(sorted(self._providers))
        return {name: _find(self._providers, name)() for name in wanted}

    def unready(self) -> tuple[str, ...]:
        """Return the conditions that do not hold."""
        return tuple(name for name, holds in self._conditions.items() if not holds())

    async def run(self, name: str, args: t.Mapping[str, str]) -> t.Any:
        """Run a command and return its answer; raise UnknownPage or ValueError."""
        return await _find(self._commands, name)(args)

    def refresh(self) -> None:
        """Set every gauge."""
        for refresh in self._refreshes:
            refresh()


def _registrar(registry: dict[str, _T], name: str) -> t.Callable[[_T], _T]:
    def register(item: _T) -> _T:
        if name in registry:
            raise ValueError(f"{name!r} is registered twice")
        registry[name] = item
        return item

    return register


def _find(registry: dict[str, _T], name: str) -> _T:
    if name not in registry:
        raise UnknownPage(name)
    return registry[name]
