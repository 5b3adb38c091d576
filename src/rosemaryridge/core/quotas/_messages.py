"""Define the datagrams about quotas."""

import dataclasses

from rosemaryridge.core._peer_messages import datagram


@datagram("get-permit")
@dataclasses.dataclass(frozen=True, slots=True)
class PermitRequest:
    """Request a permit for one operation of a business.

    `rate_per_s` and `burst` are its limits in `version` of the configuration. A lower
    `urgency` goes first.
    """

    number: int
    business: str
    rate_per_s: float
    burst: float
    version: int
    urgency: int
    asker: str


@datagram("permit")
@dataclasses.dataclass(frozen=True, slots=True)
class PermitReply:
    """Grant or refuse a permit.

    `decided` is false if the sender issues no permits of the business. Times are in
    seconds, see `Decision`.
    """

    number: int
    decided: bool
    granted: bool
    retry_s: float
    pause_s: float
