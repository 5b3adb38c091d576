"""Hold a statement together with how its caller sent it."""

import dataclasses

from rosemaryridge.sql import Statement


@dataclasses.dataclass(frozen=True, slots=True)
class Query:
    """Hold a statement, the text to send and the settings of its leading comment."""

    statement: Statement
    text: str
    settings: tuple[tuple[str, str], ...]
