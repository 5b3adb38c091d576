"""Tests of the proxy and of its test bed.

Hypothesis generates the same cases on every run. With `HYPOTHESIS_PROFILE=explore`
it draws new cases on every run, ten times as many.
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
