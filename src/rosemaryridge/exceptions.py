"""Define the exceptions that several parts of the package share."""

from rosemaryridge.codes import Code


class RosemaryridgeError(Exception):
    """Serve as the base class of the package's errors."""


class Refusal(RosemaryridgeError):
    """Carry a numbered result code to the caller.

    `detail` describes what was wrong and where. `retry_after_s` is the time in
    seconds after which the caller may retry, or None if a retry cannot succeed.
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

    `faults` holds `rosemaryridge.config.Fault` objects or strings.
    """

    def __init__(self, faults: tuple[object, ...]):
        super().__init__("\n".join(map(str, faults)))
        self.faults = faults


class StoreError(RosemaryridgeError):
    """Report a failed call to the platform's object API."""


class StoreConflict(StoreError):
    """Report that an object's version differs from the expected one."""

    def __init__(self, message: str, version: int = 0):
        super().__init__(message)
        self.version = version


class StoreUnavailable(StoreError):
    """Report that the object API did not answer; a change may have been applied."""


class StoreLimited(StoreUnavailable):
    """Report that a rate limit or call budget is exhausted; the call did not run."""

    def __init__(self, message: str, retry_after_s: float):
        super().__init__(message)
        self.retry_after_s = retry_after_s


class StoreHistoryGone(StoreError):
    """Report that requested changes are no longer retained; list objects again."""


class StoreRefused(StoreError):
    """Report that the object API rejected a call, such as an oversized value."""


class PeerUnavailable(RosemaryridgeError):
    """Report that a peer could not be reached or did not answer in time."""


class TargetUnavailable(RosemaryridgeError):
    """Report that a target did not answer; the request may have been executed."""


class OrderExpired(RosemaryridgeError):
    """Report that an order was not sent because its claim has become too old."""


class FenceRefused(RosemaryridgeError):
    """Report that a target has accepted another term or candidate."""

    def __init__(self, fenced_term: int):
        super().__init__(f"the target is fenced at term {fenced_term}")
        self.fenced_term = fenced_term
