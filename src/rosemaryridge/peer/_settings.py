"""Define the settings of the streams between proxies."""

import dataclasses

from rosemaryridge.fields import Positive
from rosemaryridge.fields import Seconds
from rosemaryridge.fields import setting


@dataclasses.dataclass(frozen=True, slots=True)
class BusSettings:
    """Settings of the streams between proxies."""

    connect_timeout_s: Seconds = setting(2.0, "Time to open a stream to a peer.")
    flush_s: Seconds = setting(0.02, "Longest wait of a message for its batch.")
    batch_limit: Positive = setting(256, "Messages in one batch.")
    queue_limit: Positive = setting(
        4096, "Messages that may wait for a peer before the oldest are dropped."
    )
    heartbeat_s: Seconds = setting(2.0, "Time between two heartbeats on a stream.")
    silent_timeout_s: Seconds = setting(
        6.0, "Time without a batch or heartbeat after which a stream closes."
    )
    idle_close_s: Seconds = setting(
        30.0, "Idle time after which a stream that was opened on demand closes."
    )
    backoff_min_s: Seconds = setting(0.1, "First pause after a failed connection.")
    backoff_max_s: Seconds = setting(5.0, "Longest pause after failed connections.")
