"""Read service files and check each file and all files together."""

import pathlib
import typing as t

from result import Err
from result import Ok

from rosemaryridge.config import Fault
from rosemaryridge.config import Revision
from rosemaryridge.config import ServiceConfig
from rosemaryridge.config import SourcedService
from rosemaryridge.config import check_cross_service
from rosemaryridge.config import check_service
from rosemaryridge.exceptions import SettingsError

PATTERN = "*.service.json"


def collect(paths: t.Iterable[str]) -> tuple[SourcedService, ...]:
    """Read all service files; raise SettingsError with the faults of all files."""
    found: list[SourcedService] = []
    faults: list[object] = []
    for path in _files(paths):
        match check_service(path):
            case Ok(service):
                found.append(SourcedService(str(path), service))
            case Err(exc):
                faults.extend(exc.faults)
    faults.extend(check_cross_service(found))
    if not found and not faults:
        given = ", ".join(map(str, paths))
        faults.append(Fault(given, "(files)", "no service file", f"files {PATTERN}"))
    if faults:
        raise SettingsError(tuple(faults))
    return tuple(found)


def check_with_published(
    sources: t.Sequence[SourcedService], published: t.Iterable[Revision]
) -> None:
    """Check files against other published services; raise SettingsError."""
    own_names = {source.service.name for source in sources}
    others = [
        SourcedService(f"published {service.name}", service)
        for service in map(_valid_service, published)
        if service is not None and service.name not in own_names
    ]
    files = {source.source for source in sources}
    faults = check_cross_service([*sources, *others])
    # Faults of published services are left to their own publishers.
    faults = tuple(fault for fault in faults if fault.file in files)
    if faults:
        raise SettingsError(faults)


def _valid_service(revision: Revision) -> ServiceConfig | None:
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
