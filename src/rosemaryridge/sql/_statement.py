"""Define what the proxy knows of a statement's text."""

import dataclasses
import enum


class StatementClass(enum.Enum):
    """Name what a statement does, as far as the proxy has to know."""

    EMPTY = "empty"
    READ = "read"
    WRITE = "write"
    BEGIN = "begin"
    COMMIT = "commit"
    ROLLBACK = "rollback"
    SAVEPOINT = "savepoint"
    SET = "set"
    RESET = "reset"
    SHOW = "show"
    DISCARD = "discard"
    CURSOR = "cursor"
    UNSUPPORTED = "unsupported"


@dataclasses.dataclass(frozen=True, slots=True)
class Statement:
    """Describe one statement.

    `functions` are those that a read calls and that are not known to be pure.
    `name` and `value` belong to SET, RESET and SHOW; `reason` says why a statement
    is unsupported or not a read. `read_only` is what BEGIN or SET TRANSACTION
    declares. `chain` marks COMMIT AND CHAIN and ROLLBACK AND CHAIN.
    """

    text: str
    kind: StatementClass
    functions: frozenset[str] = frozenset()
    name: str = ""
    value: str = ""
    reason: str = ""
    read_only: bool = False
    local: bool = False
    chain: bool = False

    def is_read(self, read_functions: frozenset[str] = frozenset()) -> bool:
        """Tell whether it is proven a read, given the operator's own functions."""
        return self.kind is StatementClass.READ and self.functions <= read_functions
