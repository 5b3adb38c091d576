"""Define how the object API is called."""

import dataclasses

from rosemaryridge.fields import Name
from rosemaryridge.fields import Positive
from rosemaryridge.fields import Seconds
from rosemaryridge.fields import setting


@dataclasses.dataclass(frozen=True, slots=True)
class PlatformSettings:
    """Call the platform's object API."""

    base_url: Name = setting(doc="Base URL, such as http://10.0.0.5:8080.")
    connect_timeout_s: Seconds = setting(1.0, "Time to open a connection.")
    timeout_s: Seconds = setting(3.0, "Time for one call, a watch's wait aside.")
    calls_per_s: Positive = setting(2, "Calls a second that the process may make.")
    call_burst: Positive = setting(20, "Calls that it may make at once.")
