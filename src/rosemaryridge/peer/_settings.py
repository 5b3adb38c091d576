"""Define what the peers' streams can be tuned by."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class BusSettings:
    """Tune the streams between proxies.

    `flush_s` is the time that messages are gathered into a batch; `queue_limit`
    the messages that may wait for one peer before the oldest are dropped;
    `idle_close_s` the time after which a stream that was opened on demand closes.
    """

    connect_timeout_s: float = 2.0
    flush_s: float = 0.02
    batch_limit: int = 256
    queue_limit: int = 4096
    heartbeat_s: float = 2.0
    silent_timeout_s: float = 6.0
    idle_close_s: float = 30.0
    backoff_min_s: float = 0.1
    backoff_max_s: float = 5.0
