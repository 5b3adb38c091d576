"""Name the steps of the system: the messages that it sends and gets answered."""

import enum
import typing as t

F = t.TypeVar("F", bound=t.Callable[..., t.Any])

# The names of all steps; filled by `step`.
STEPS: list[str] = []


class Moment(enum.Enum):
    """List the moments of a step at which a fault may strike."""

    # The message is about to be carried out.
    BEFORE = "before"
    # It was carried out, and its answer is on the way.
    AFTER = "after"


class Effect(t.NamedTuple):
    """Tell what becomes of the message of a step.

    A lost one is neither answered nor, before that, carried out. With `late_s` it is
    carried out as many seconds later, without an answer.
    """

    is_lost: bool = False
    late_s: float = 0.0


NO_EFFECT = Effect()


def step(*names: str) -> t.Callable[[F], F]:
    """Register the steps that a method takes."""

    def register(method: F) -> F:
        STEPS.extend(names)
        return method

    return register
