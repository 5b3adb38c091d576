"""Convert between member records and the public member type."""

import dataclasses

from rosemaryridge.membership._messages import MemberRecord
from rosemaryridge.membership._messages import MemberState
from rosemaryridge.model import Endpoint
from rosemaryridge.peer import PeerIdentity


@dataclasses.dataclass(frozen=True, slots=True)
class Member:
    """Describe one live proxy."""

    vm: str
    incarnation: int
    failure_domain: str
    region: str
    endpoint: Endpoint


def to_record(identity: PeerIdentity) -> MemberRecord:
    """Return the initial record of a process."""
    return MemberRecord(
        identity.vm,
        identity.incarnation,
        0,
        MemberState.LIVE,
        identity.failure_domain,
        identity.region,
        str(identity.endpoint),
    )


def from_record(record: MemberRecord) -> Member:
    """Return the member described by a record."""
    return Member(
        record.vm,
        record.incarnation,
        record.failure_domain,
        record.region,
        Endpoint.parse(record.endpoint),
    )
