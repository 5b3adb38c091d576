"""Hash text to 64 bits."""

import xxhash


def hash64(text: str, seed: int = 0) -> int:
    """Return a hash of a text that is the same on every proxy."""
    return xxhash.xxh3_64_intdigest(text.encode(), seed)
