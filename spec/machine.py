"""A state machine of guarded rules, checked by z3.

:func:`holds` proves by induction that no number of steps leads to a bad state.
:func:`counterexample` looks for the shortest trace that does, by bounded checking.
"""

from collections.abc import Callable, Mapping
from typing import Any

import attrs
import z3

State = Mapping[str, z3.ArithRef]
Update = dict[str, Any]


@attrs.frozen
class Rule:
    """One step that the system may take.

    :param guard: when it may be taken
    :param update: the variables that it changes; all others stay
    """

    name: str
    guard: Callable[[State], z3.BoolRef]
    update: Callable[[State], Update]


@attrs.frozen
class Machine:
    """Variables with their first values, rules, and what must never be true.

    :param invariant: holds in every reachable state and excludes the bad ones
    """

    initial: dict[str, int]
    rules: tuple[Rule, ...]
    bad: Callable[[State], z3.BoolRef]
    invariant: Callable[[State], z3.BoolRef]


def holds(machine: Machine) -> bool:
    """Prove by induction that no reachable state is bad.

    The invariant holds at the start, every rule keeps it, and it excludes bad states.
    """
    before = {name: z3.Int(name) for name in machine.initial}
    after = {name: z3.Int(f"{name}'") for name in machine.initial}
    choice = z3.Int("choice")
    start = z3.And([before[name] == v for name, v in machine.initial.items()])
    here = machine.invariant(before)
    step = _transition(machine, before, after, choice)
    obligations = (
        z3.Implies(start, here),
        z3.Implies(z3.And(here, step), machine.invariant(after)),
        z3.Implies(here, z3.Not(machine.bad(before))),
    )
    return all(_valid(obligation) for obligation in obligations)


def _valid(formula: z3.BoolRef) -> bool:
    solver = z3.Solver()
    solver.add(z3.Not(formula))
    return bool(solver.check() == z3.unsat)


def counterexample(machine: Machine, max_steps: int) -> list[str] | None:
    """Return the names of the shortest steps to a bad state, or ``None``."""
    solver = z3.Solver()
    states = [_step_state(machine, 0)]
    solver.add([states[0][name] == v for name, v in machine.initial.items()])
    choices: list[z3.ArithRef] = []
    for step in range(max_steps):
        solver.push()
        solver.add(machine.bad(states[-1]))
        if solver.check() == z3.sat:
            model = solver.model()
            taken = [model.eval(choice).as_long() for choice in choices]
            return [machine.rules[number].name for number in taken]
        solver.pop()
        states.append(_step_state(machine, step + 1))
        choices.append(z3.Int(f"choice{step}"))
        solver.add(_transition(machine, states[-2], states[-1], choices[-1]))
    return None


def _transition(
    machine: Machine, before: State, after: State, choice: z3.ArithRef
) -> z3.BoolRef:
    return z3.Or(
        [
            z3.And(
                choice == number,
                rule.guard(before),
                *[
                    after[name] == _value({**before, **rule.update(before)}[name])
                    for name in machine.initial
                ],
            )
            for number, rule in enumerate(machine.rules)
        ]
    )


def _step_state(machine: Machine, step: int) -> State:
    return {name: z3.Int(f"{name}@{step}") for name in machine.initial}


def _value(value: Any) -> z3.ArithRef:
    return z3.IntVal(value) if isinstance(value, int) else value
