"""Identify proxy processes."""

import dataclasses

from rosemaryridge.model import Endpoint
from rosemaryridge.peer.peer_pb2 import Hello


@dataclasses.dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Identify one proxy process; each restart on a VM has a higher incarnation."""

    vm: str
    incarnation: int
    failure_domain: str
    region: str
    endpoint: Endpoint


def to_hello(identity: PeerIdentity) -> Hello:
    """Return the hello message of a process."""
    return Hello(
        vm=identity.vm,
        incarnation=identity.incarnation,
        failure_domain=identity.failure_domain,
        region=identity.region,
        endpoint=str(identity.endpoint),
    )


def from_hello(hello: Hello) -> PeerIdentity:
    """Return the sender of a hello; raise ValueError for a malformed address."""
    return PeerIdentity(
        vm=hello.vm,
        incarnation=hello.incarnation,
        failure_domain=hello.failure_domain,
        region=hello.region,
        endpoint=Endpoint.parse(hello.endpoint),
    )
