"""Specification of order claims in a store that comes back from an older copy.

The model has one key, which was created before any drill, its log, and two daemons that
claim it.  A daemon reads the log and then writes it on the condition that its revision
number is still the one that it read, which may have been given out again in another
era.  Whether the key is older than the era is taken as known.  The order runs at most
once.

``spec/orders.py`` covers delayed writes and peers within one era.
"""

import enum
from typing import Final

import z3

from .machine import Machine, Rule, State, Update

DAEMONS: Final = (1, 2)

# State of a daemon.
IDLE, READ, OWNED, DISPATCHED, REFUSED = range(5)

FIRST_ERA: Final = 1


class Variant(enum.Enum):
    """The protocol, and faulty variants that must yield a counterexample."""

    CORRECT = "correct"
    OWN_CLAIM_IN_ANY_ERA = "an own claim that is found after a drill counts"
    ACKNOWLEDGED_IN_ANY_ERA = "a claim counts although another era acknowledged it"
    CLAIM_OLDER_KEY = "a key that is older than the era is claimed"


def machine(variant: Variant) -> Machine:
    """Return the state machine of a variant.

    ``log`` is the daemon that has the claim, 0 without one, and ``number`` the revision
    number of the log.  ``view_era`` and ``view`` are the revision that a daemon read.
    """
    initial = {
        "era": FIRST_ERA,
        "log": 0,
        "number": 0,
        "copy_log": 0,
        "copy_number": 0,
        "runs": 0,
    }
    rules = _store_rules()
    for daemon in DAEMONS:
        initial |= {f"pc{daemon}": IDLE, f"view_era{daemon}": 0, f"view{daemon}": 0}
        rules += _daemon_rules(daemon, variant)
    return Machine(initial, tuple(rules), lambda s: s["runs"] > 1, _invariant)


def _invariant(s: State) -> z3.BoolRef:
    """Return the inductive invariant: an owner has claimed in the first era."""
    is_first_era = s["era"] == FIRST_ERA
    owners = [z3.Or(s[f"pc{d}"] == OWNED, s[f"pc{d}"] == DISPATCHED) for d in DAEMONS]
    dispatched = [z3.If(s[f"pc{d}"] == DISPATCHED, 1, 0) for d in DAEMONS]
    parts = [
        s["era"] >= FIRST_ERA,
        z3.Not(z3.And(*owners)),
        s["runs"] == z3.Sum(dispatched),
    ]
    for daemon, is_owner in zip(DAEMONS, owners, strict=True):
        has_read = s[f"pc{daemon}"] == READ
        view = s[f"view{daemon}"]
        parts += [
            z3.Implies(z3.And(is_first_era, is_owner), s["log"] == daemon),
            z3.Implies(has_read, s[f"view_era{daemon}"] == FIRST_ERA),
            z3.Implies(z3.And(is_first_era, has_read), view <= s["number"]),
            z3.Implies(
                z3.And(is_first_era, has_read, view == s["number"]), s["log"] == 0
            ),
        ]
    return z3.And(*parts)


def _store_rules() -> list[Rule]:
    return [
        Rule(
            "another key of the log is claimed",
            lambda s: z3.BoolVal(True),
            lambda s: {"number": s["number"] + 1},
        ),
        Rule(
            "the store is copied",
            lambda s: z3.BoolVal(True),
            lambda s: {"copy_log": s["log"], "copy_number": s["number"]},
        ),
        Rule(
            "the store comes back from the copy",
            lambda s: z3.BoolVal(True),
            lambda s: {
                "era": s["era"] + 1,
                "log": s["copy_log"],
                "number": s["copy_number"],
            },
        ),
    ]


def _daemon_rules(daemon: int, variant: Variant) -> list[Rule]:
    pc, view_era, view = f"pc{daemon}", f"view_era{daemon}", f"view{daemon}"

    def read_log(s: State) -> Update:
        """Decide on the claim by the log as it is now."""
        is_older_key = s["era"] > FIRST_ERA
        may_claim, may_own = s["log"] == 0, s["log"] == daemon
        if variant is not Variant.CLAIM_OLDER_KEY:
            may_claim = z3.And(may_claim, z3.Not(is_older_key))
        if variant is not Variant.OWN_CLAIM_IN_ANY_ERA:
            may_own = z3.And(may_own, z3.Not(is_older_key))
        decided = z3.If(may_claim, READ, z3.If(may_own, OWNED, REFUSED))
        return {pc: decided, view_era: s["era"], view: s["number"]}

    def write_claim(s: State, is_answered: bool) -> Update:
        """Append the claim if the number is the one that was read."""
        is_met = s["number"] == s[view]
        counts = z3.And(is_met, z3.BoolVal(is_answered))
        if variant is not Variant.ACKNOWLEDGED_IN_ANY_ERA:
            counts = z3.And(counts, s["era"] == s[view_era])
        return {
            "log": z3.If(is_met, daemon, s["log"]),
            "number": z3.If(is_met, s["number"] + 1, s["number"]),
            pc: z3.If(counts, OWNED, IDLE),
        }

    return [
        Rule(f"{daemon} reads the log", lambda s: s[pc] == IDLE, read_log),
        Rule(
            f"{daemon} writes its claim",
            lambda s: s[pc] == READ,
            lambda s: write_claim(s, is_answered=True),
        ),
        Rule(
            f"{daemon} writes its claim and gets no answer",
            lambda s: s[pc] == READ,
            lambda s: write_claim(s, is_answered=False),
        ),
        Rule(
            f"{daemon} dispatches the order",
            lambda s: s[pc] == OWNED,
            lambda s: {pc: DISPATCHED, "runs": s["runs"] + 1},
        ),
    ]
