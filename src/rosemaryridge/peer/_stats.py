"""Count the messages between proxies."""

import dataclasses


@dataclasses.dataclass(slots=True)
class BusStats:
    """Count messages and batches since the start of the process.

    `dropped` counts messages removed from full queues, `gaps` received batches with
    messages missing before them, `unknown` messages without a decoder or responder.
    """

    messages_out: int = 0
    messages_in: int = 0
    batches_in: int = 0
    dropped: int = 0
    gaps: int = 0
    unknown: int = 0
