"""Adapt the answer timeout of a statement to its earlier durations."""

import collections

_MAX_STATEMENTS = 1024
# A timeout is this multiple of the expected duration, and each timeout of a request
# multiplies the next one by it.
_FACTOR = 4.0
# Weight of the recorded duration when a newer answer was faster.
_DECAY = 0.9


class AdaptiveTimeout:
    """Compute answer timeouts; slow statements get longer ones.

    Only statements whose duration affects the timeout are recorded, the `size` most
    recently answered of them.
    """

    def __init__(self, min_timeout_s: float, size: int = _MAX_STATEMENTS):
        self._min_timeout_s = min_timeout_s
        self._size = size
        self._durations_s: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def timeout_s(self, text: str, timeouts: int) -> float:
        """Return the next timeout of a request that has met `timeouts` so far."""
        expected_s = self._durations_s.get(text, 0.0)
        initial_s = max(self._min_timeout_s, _FACTOR * expected_s)
        return initial_s * _FACTOR**timeouts

    def record_answer(self, text: str, took_s: float) -> None:
        """Record the duration of an answer in seconds.

        A longer duration replaces the recorded one at once; shorter ones lower it
        gradually.
        """
        if took_s * _FACTOR <= self._min_timeout_s and text not in self._durations_s:
            return
        self._durations_s[text] = max(took_s, _DECAY * self._durations_s.get(text, 0.0))
        self._durations_s.move_to_end(text)
        if len(self._durations_s) > self._size:
            self._durations_s.popitem(last=False)
