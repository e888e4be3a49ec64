"""State machines of guarded rules, and their verification with z3.

:func:`holds` proves by induction that no bad state is reachable in any number of
steps.  :func:`counterexample` searches for the shortest trace to a bad state, by
bounded model checking.
"""

from collections.abc import Callable, Mapping
from typing import Any

import attrs
import z3

State = Mapping[str, z3.ArithRef]
Update = dict[str, Any]


@attrs.frozen
class Rule:
    """A transition that the system may make.

    :param guard: condition under which the transition is enabled
    :param update: new values of the variables that it changes; others are unchanged
    """

    name: str
    guard: Callable[[State], z3.BoolRef]
    update: Callable[[State], Update]


@attrs.frozen
class Machine:
    """A state machine together with its safety property.

    :param initial: the variables and their initial values
    :param rules: the transitions
    :param bad: condition that must hold in no reachable state
    :param invariant: inductive invariant; holds in every reachable state and excludes
        the bad ones
    """

    initial: dict[str, int]
    rules: tuple[Rule, ...]
    bad: Callable[[State], z3.BoolRef]
    invariant: Callable[[State], z3.BoolRef]


def holds(machine: Machine) -> bool:
    """Prove by induction that no reachable state is bad.

    The proof obligations are that the invariant holds in the initial state, that every
    rule preserves it, and that it excludes bad states.
    """
    before = {name: z3.Int(name) for name in machine.initial}
    after = {name: z3.Int(f"{name}'") for name in machine.initial}
    choice = z3.Int("choice")
    initial_state = z3.And([before[name] == v for name, v in machine.initial.items()])
    invariant_before = machine.invariant(before)
    step = _transition(machine, before, after, choice)
    obligations = (
        z3.Implies(initial_state, invariant_before),
        z3.Implies(z3.And(invariant_before, step), machine.invariant(after)),
        z3.Implies(invariant_before, z3.Not(machine.bad(before))),
    )
    return all(_is_valid(obligation) for obligation in obligations)


def _is_valid(formula: z3.BoolRef) -> bool:
    solver = z3.Solver()
    solver.add(z3.Not(formula))
    return bool(solver.check() == z3.unsat)


def counterexample(machine: Machine, max_steps: int) -> list[str] | None:
    """Return the rule names of the shortest trace to a bad state.

    :param max_steps: number of steps to search; traces are shorter than this
    :returns: ``None`` if no trace was found
    """
    solver = z3.Solver()
    states = [_state_at(machine, 0)]
    solver.add([states[0][name] == v for name, v in machine.initial.items()])
    choices: list[z3.ArithRef] = []
    for step in range(max_steps):
        solver.push()
        solver.add(machine.bad(states[-1]))
        if solver.check() == z3.sat:
            model = solver.model()
            chosen = [model.eval(choice).as_long() for choice in choices]
            return [machine.rules[number].name for number in chosen]
        solver.pop()
        states.append(_state_at(machine, step + 1))
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
                    after[name] == _to_z3({**before, **rule.update(before)}[name])
                    for name in machine.initial
                ],
            )
            for number, rule in enumerate(machine.rules)
        ]
    )


def _state_at(machine: Machine, step: int) -> State:
    return {name: z3.Int(f"{name}@{step}") for name in machine.initial}


def _to_z3(value: Any) -> z3.ArithRef:
    return z3.IntVal(value) if isinstance(value, int) else value
