"""Collect service files and check them, each and all together."""

import pathlib
import typing as t

from result import Err
from result import Ok

from rosemaryridge.config import Fault
from rosemaryridge.config import Revision
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import SourcedService
from rosemaryridge.config import check_across
from rosemaryridge.config import check_service
from rosemaryridge.exceptions import SettingsError

PATTERN = "*.service.json"


def collect(paths: t.Iterable[str]) -> tuple[SourcedService, ...]:
    """Read every service file; raise SettingsError with the faults of all."""
    found: list[SourcedService] = []
    faults: list[object] = []
    for path in _files(paths):
        match check_service(path):
            case Ok(service):
                found.append(SourcedService(str(path), service))
            case Err(exc):
                faults.extend(exc.faults)
    faults.extend(check_across(found))
    if not found and not faults:
        given = ", ".join(map(str, paths))
        faults.append(Fault(given, "(files)", "no service file", f"files {PATTERN}"))
    if faults:
        raise SettingsError(tuple(faults))
    return tuple(found)


def check_with_published(
    sources: t.Sequence[SourcedService], published: t.Iterable[Revision]
) -> None:
    """Check files against the other published services; raise SettingsError."""
    own = {source.service.name for source in sources}
    others = [
        SourcedService(f"published {service.name}", service)
        for service in map(_acceptable, published)
        if service is not None and service.name not in own
    ]
    files = {source.source for source in sources}
    faults = check_across([*sources, *others])
    # What is published already is not this operator's to mend.
    faults = tuple(fault for fault in faults if fault.file in files)
    if faults:
        raise SettingsError(faults)


def _acceptable(revision: Revision) -> ServiceConfig | None:
    try:
        return revision.service()
    except SettingsError:
        return None


def _files(paths: t.Iterable[str]) -> t.Iterator[pathlib.Path]:
    seen = set()
    for given in map(pathlib.Path, paths):
        found = sorted(given.rglob(PATTERN)) if given.is_dir() else [given]
        for path in found:
            if path.resolve() not in seen:
                seen.add(path.resolve())
                yield path
