"""Know how long a statement may stay silent before its connection is doubted."""

import collections

_SIZE = 1024
_FACTOR = 4.0
_FADE = 0.9


class Patience:
    """Remember the statements that take long, so that they are not given up."""

    def __init__(self, silent_timeout_s: float, size: int = _SIZE):
        self._silent_timeout_s = silent_timeout_s
        self._size = size
        self._slow_s: collections.OrderedDict[str, float] = collections.OrderedDict()

    def seconds(self, text: str, silences: int) -> float:
        """Return how long to wait, given the silences this request has met."""
        known_s = self._slow_s.get(text, 0.0)
        first_s = max(self._silent_timeout_s, _FACTOR * known_s)
        return first_s * _FACTOR**silences

    def answered(self, text: str, took_s: float) -> None:
        """Take in how long an answer took; an old long one fades."""
        if took_s * _FACTOR <= self._silent_timeout_s and text not in self._slow_s:
            return
        self._slow_s[text] = max(took_s, _FADE * self._slow_s.get(text, 0.0))
        self._slow_s.move_to_end(text)
        if len(self._slow_s) > self._size:
            self._slow_s.popitem(last=False)
