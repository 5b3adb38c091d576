"""Know which targets are leaving."""

from rosemaryridge.membership._hash import hash64
from rosemaryridge.membership._messages import TargetFlag


class LeavingTargets:
    """Merge flags by version; at the same version leaving counts."""

    def __init__(self) -> None:
        self._flags: dict[str, TargetFlag] = {}
        self.digest = 0

    def __contains__(self, target: str) -> bool:
        flag = self._flags.get(target)
        return flag is not None and flag.leaving

    def flags(self) -> tuple[TargetFlag, ...]:
        """Return every flag that was ever set."""
        return tuple(self._flags.values())

    def observe(self, target: str, leaving: bool) -> TargetFlag | None:
        """Take in what a target says of itself; return a flag that is news."""
        if leaving == (target in self):
            return None
        known = self._flags.get(target)
        flag = TargetFlag(target, known.version + 1 if known else 1, leaving)
        self.apply(flag)
        return flag

    def apply(self, flag: TargetFlag) -> bool:
        """Take in a flag; return whether it is news."""
        known = self._flags.get(flag.target)
        if known is not None:
            if (flag.version, flag.leaving) <= (known.version, known.leaving):
                return False
            self.digest ^= _fingerprint(known)
        self._flags[flag.target] = flag
        self.digest ^= _fingerprint(flag)
        return True


def _fingerprint(flag: TargetFlag) -> int:
    text = f"{flag.target}/{flag.version}/{int(flag.leaving)}"
    return hash64(text)
