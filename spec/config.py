"""Specification of configuration changes and their propagation.

The model has two operators, two daemons and one root.  Operators replace the root by
compare-and-swap.  A daemon receives revisions from the root or from the other daemon,
and messages may be out of date.  An accepted change must not be lost, and a daemon must
not return to a lower revision.
"""

import enum
from typing import Final

import z3

from .machine import Machine, Rule, State, Update

OPERATORS: Final = (1, 2)
DAEMONS: Final = (1, 2)
IDLE, SENT = range(2)


class Variant(enum.Enum):
    """The protocol, and faulty variants that must yield a counterexample."""

    CORRECT = "correct"
    ACCEPT_LOWER = "a daemon takes a lower revision"
    BLIND_WRITE = "an operator writes without comparing the revision"
    REPORT_UNCONFIRMED_WRITE = "an operator is told stored before the write is known"


def machine(variant: Variant) -> Machine:
    """Return the state machine of a variant.

    ``accepted`` is the highest revision that was reported to an operator as stored.
    """
    initial = {"root": 0, "accepted": 0, "lost": 0, "reverted": 0}
    initial |= {f"pc{o}": IDLE for o in OPERATORS}
    initial |= {f"base{o}": 0 for o in OPERATORS}
    initial |= {f"force{d}": 0 for d in DAEMONS}
    initial |= {f"message{d}": 0 for d in DAEMONS}
    rules = [rule for o in OPERATORS for rule in _operator_rules(o, variant)]
    rules += [rule for d in DAEMONS for rule in _daemon_rules(d, variant)]
    return Machine(initial, tuple(rules), _bad, _invariant)


def _bad(s: State) -> z3.BoolRef:
    """Return whether an accepted change was lost, or a daemon's revision decreased."""
    return z3.Or(s["lost"] > 0, s["reverted"] > 0, s["accepted"] > s["root"])


def _invariant(s: State) -> z3.BoolRef:
    """Return the inductive invariant: nothing is ahead of the root or violated."""
    not_ahead = [
        s[f"{name}{d}"] <= s["root"] for d in DAEMONS for name in ("force", "message")
    ]
    no_violation = [s["lost"] == 0, s["reverted"] == 0, s["accepted"] <= s["root"]]
    return z3.And(not_ahead + no_violation)


def _operator_rules(o: int, variant: Variant) -> list[Rule]:
    pc, base = f"pc{o}", f"base{o}"

    def can_take_effect(s: State) -> z3.BoolRef:
        is_current = s["root"] == s[base]
        return z3.BoolVal(True) if variant is Variant.BLIND_WRITE else is_current

    def write(s: State) -> Update:
        """Replace the root; a write on an outdated base loses accepted changes."""
        new = s[base] + 1
        lost = z3.If(s["accepted"] > s[base], s["lost"] + 1, s["lost"])
        return {pc: IDLE, "root": new, "lost": lost}

    rules = [
        Rule(
            f"operator {o} edits the revision in force",
            lambda s: s[pc] == IDLE,
            lambda s: {pc: SENT, base: s["root"]},
        ),
        Rule(
            f"operator {o}'s change is stored and said so",
            lambda s: z3.And(s[pc] == SENT, can_take_effect(s)),
            lambda s: {**write(s), "accepted": s[base] + 1},
        ),
        Rule(
            f"operator {o}'s change is stored and the answer is lost",
            lambda s: z3.And(s[pc] == SENT, can_take_effect(s)),
            write,
        ),
        Rule(
            f"operator {o} conflicts",
            lambda s: z3.And(s[pc] == SENT, s["root"] != s[base]),
            lambda s: {pc: IDLE},
        ),
    ]
    if variant is Variant.REPORT_UNCONFIRMED_WRITE:
        rules.append(
            Rule(
                f"operator {o} is told stored without an answer",
                lambda s: s[pc] == SENT,
                lambda s: {pc: IDLE, "accepted": s[base] + 1},
            )
        )
    return rules


def _daemon_rules(d: int, variant: Variant) -> list[Rule]:
    in_force, message = f"force{d}", f"message{d}"
    other = f"force{DAEMONS[0] if d == DAEMONS[1] else DAEMONS[1]}"

    def apply_message(s: State) -> Update:
        offered = s[message]
        if variant is not Variant.ACCEPT_LOWER:
            return {in_force: z3.If(offered > s[in_force], offered, s[in_force])}
        reverted = z3.If(offered < s[in_force], s["reverted"] + 1, s["reverted"])
        return {in_force: offered, "reverted": reverted}

    return [
        Rule(
            f"daemon {d} reads the root",
            lambda s: z3.BoolVal(True),
            lambda s: {message: s["root"]},
        ),
        Rule(
            f"daemon {d} hears from its peer",
            lambda s: z3.BoolVal(True),
            lambda s: {message: s[other]},
        ),
        Rule(
            f"daemon {d} takes what it heard", lambda s: z3.BoolVal(True), apply_message
        ),
    ]
