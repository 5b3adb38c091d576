"""Define the settings of calls to the object API."""

import dataclasses

from rosemaryridge.fields import Name
from rosemaryridge.fields import Positive
from rosemaryridge.fields import Seconds
from rosemaryridge.fields import setting


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Configure calls to the platform's object API."""

    base_url: Name = setting(doc="Base URL, such as http://10.0.0.5:8080.")
    connect_timeout_s: Seconds = setting(1.0, "Time to open a connection.")
    timeout_s: Seconds = setting(
        3.0, "Time for one call, in addition to the wait of a watch."
    )
    calls_per_s: Positive = setting(2, "Calls that the process may make in a second.")
    call_burst: Positive = setting(20, "Calls that the process may make at once.")
