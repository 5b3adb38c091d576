"""Define the classes of statements and their parsed properties."""

import dataclasses
import enum


class StatementClass(enum.Enum):
    """Classify a statement by its effect on routing and session state."""

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

    `functions` are the functions called by a read that are not in PURE_FUNCTIONS.
    `name` and `value` are the arguments of SET, RESET and SHOW; for DISCARD, `name`
    is what is discarded; for SAVEPOINT, it is the command and `value` the savepoint.
    `reason` is why a statement is unsupported or not a read. `read_only` is declared
    by BEGIN or SET TRANSACTION. `local` is true for SET LOCAL and SET TRANSACTION,
    `chain` for COMMIT AND CHAIN and ROLLBACK AND CHAIN.
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
        """Return whether this is a proven read.

        `read_functions` are further functions that the operator declares pure.
        """
        return self.kind is StatementClass.READ and self.functions <= read_functions
