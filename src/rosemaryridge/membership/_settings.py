"""Define what membership can be tuned by."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipTuning:
    """Tune how members are watched and how much is sent.

    Up to `full_mesh` members every pair keeps a stream; beyond it each member
    keeps `neighbours`. A doubted member is taken for dead after `confirm_s`
    without a word from it. `vms_calls_per_s` bounds the whole fleet's reads of the
    VM list.
    """

    full_mesh: int = 24
    neighbours: int = 4
    tick_s: float = 0.25
    doubt_s: float = 1.0
    confirm_s: float = 3.0
    redoubt_s: float = 10.0
    digest_s: float = 10.0
    rejoin_s: float = 1.0
    forget_s: float = 7200.0
    vms_period_s: float = 2.0
    vms_calls_per_s: float = 8.0
