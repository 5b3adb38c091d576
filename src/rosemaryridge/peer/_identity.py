"""Say which proxy process a peer is."""

import dataclasses

from rosemaryridge.model import Endpoint
from rosemaryridge.peer.peer_pb2 import Hello


@dataclasses.dataclass(frozen=True, slots=True)
class PeerIdentity:
    """Introduce one proxy process; a later incarnation of a VM is a higher number."""

    vm: str
    incarnation: int
    failure_domain: str
    region: str
    endpoint: Endpoint


def to_hello(identity: PeerIdentity) -> Hello:
    """Return the message that introduces a process."""
    return Hello(
        vm=identity.vm,
        incarnation=identity.incarnation,
        failure_domain=identity.failure_domain,
        region=identity.region,
        endpoint=str(identity.endpoint),
    )


def from_hello(hello: Hello) -> PeerIdentity:
    """Return who introduced itself; raise ValueError for a malformed address."""
    return PeerIdentity(
        vm=hello.vm,
        incarnation=hello.incarnation,
        failure_domain=hello.failure_domain,
        region=hello.region,
        endpoint=Endpoint.parse(hello.endpoint),
    )
