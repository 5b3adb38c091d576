"""Count what passes between proxies."""

import dataclasses


@dataclasses.dataclass(slots=True)
class BusStats:
    """Count messages and batches; `unknown` ones could not be decoded or handled."""

    messages_out: int = 0
    messages_in: int = 0
    batches_in: int = 0
    dropped: int = 0
    gaps: int = 0
    unknown: int = 0
