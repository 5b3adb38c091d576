"""Hold every exception that the package raises."""

from rosemaryridge.codes import Code


class RosemaryridgeError(Exception):
    """Be the base of every error of the package."""


class Refusal(RosemaryridgeError):
    """Carry a numbered result code to the caller.

    `detail` says what was wrong and where; `retry_after_s` tells the caller when
    to come back, in seconds, and is None where a repeat cannot help.
    """

    def __init__(
        self, code: Code, detail: str = "", retry_after_s: float | None = None
    ):
        super().__init__(f"{code.number} {code.name}: {detail or code.meaning}")
        self.code = code
        self.detail = detail
        self.retry_after_s = retry_after_s


class SettingsError(RosemaryridgeError):
    """List every fault found in a settings or service file.

    `faults` are `rosemaryridge.config.Fault`s, or texts.
    """

    def __init__(self, faults: tuple[object, ...]):
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


class StoreError(RosemaryridgeError):
    """Report a failed call to the platform's object API."""


class StoreConflict(StoreError):
    """Report that an object's version was not the expected one."""

    def __init__(self, message: str, version: int = 0):
        super().__init__(message)
        self.version = version


class StoreUnavailable(StoreError):
    """Report that the object API gave no answer; the change may have been made."""


class StoreLimited(StoreUnavailable):
    """Report that a rate or call budget is spent; the call did not run."""

    def __init__(self, message: str, retry_after_s: float):
        super().__init__(message)
        self.retry_after_s = retry_after_s


class StoreHistoryGone(StoreError):
    """Report that the changes asked for are no longer kept; list anew."""


class StoreRefused(StoreError):
    """Report that the object API does not take a call, such as too large a value."""


class PeerUnavailable(RosemaryridgeError):
    """Report that a peer could not be reached or did not answer in time."""


class TargetUnavailable(RosemaryridgeError):
    """Report that a target gave no answer; what was asked may have been done."""


class FenceRefused(RosemaryridgeError):
    """Report that a target has promised itself to another term or candidate."""

    def __init__(self, fenced_term: int):
        super().__init__(f"the target is fenced at term {fenced_term}")
        self.fenced_term = fenced_term
