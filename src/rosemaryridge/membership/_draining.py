"""Merge the flags of draining targets."""

from rosemaryridge.membership._hash import hash64
from rosemaryridge.membership._messages import TargetFlag


class DrainingTargets:
    """Merge flags by version; at equal versions the draining flag wins."""

    def __init__(self) -> None:
        self._flags: dict[str, TargetFlag] = {}
        self.digest = 0

    def __contains__(self, target: str) -> bool:
        flag = self._flags.get(target)
        return flag is not None and flag.leaving

    def flags(self) -> tuple[TargetFlag, ...]:
        """Return the flags of all targets that ever had one."""
        return tuple(self._flags.values())

    def observe(self, target: str, draining: bool) -> TargetFlag | None:
        """Record a target's reported state; return its new flag if that changed."""
        if draining == (target in self):
            return None
        known = self._flags.get(target)
        flag = TargetFlag(target, known.version + 1 if known else 1, draining)
        self.apply(flag)
        return flag

    def apply(self, flag: TargetFlag) -> bool:
        """Merge a flag; return whether the stored flag changed."""
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
