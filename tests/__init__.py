"""Hold the tests; generated cases are the same on every run, unless asked otherwise.

`HYPOTHESIS_PROFILE=explore` draws new cases, ten times as many.
"""

import os

import hypothesis

hypothesis.settings.register_profile(
    "repeat", derandomize=True, deadline=None, database=None
)
hypothesis.settings.register_profile(
    "explore", deadline=None, max_examples=1000, print_blob=True
)
hypothesis.settings.load_profile(os.environ.get("HYPOTHESIS_PROFILE", "repeat"))
