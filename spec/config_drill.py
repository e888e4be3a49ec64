"""Specification of the configuration in a store that comes back from a copy.

The model has one root, its copy, operators that replace the root by compare-and-swap,
and two daemons that read the root or hear from each other.  Fewer than ``SKIPPED``
changes are lost in a drill.  A daemon that has read the root as it is must have the
settings of the root in force: otherwise a change that was confirmed is not in force.
"""

import enum
from typing import Final

import z3

from .machine import Machine, Rule, State, Update

DAEMONS: Final = (1, 2)
FIRST_ERA: Final = 1

# Revisions that a change skips for each era since the change before.
SKIPPED: Final = 3


class Variant(enum.Enum):
    """The protocol, and faulty variants that must yield a counterexample."""

    CORRECT = "correct"
    NUMBERS_GIVEN_OUT_AGAIN = "revisions of lost changes are given out again"
    SKIP_ONCE = "a change skips as many revisions after two drills as after one"
    NOT_STORED_AGAIN = "settings that the store lost are not stored again"


def machine(variant: Variant) -> Machine:
    """Return the state machine of a variant.

    ``revision``, ``made`` and ``text`` are the root's revision, the era in which it was
    stored and its settings.  ``force``, ``force_made`` and ``force_text`` are those in
    force in a daemon, and ``is_current`` whether it has read the root as it is.
    """
    initial = {"era": FIRST_ERA, "texts": 1}
    for prefix in ("", "copy_"):
        initial |= {f"{prefix}revision": 1, f"{prefix}made": FIRST_ERA}
        initial |= {f"{prefix}text": 1}
    rules = _store_rules(variant)
    for d in DAEMONS:
        initial |= {f"force{d}": 0, f"force_made{d}": FIRST_ERA, f"force_text{d}": 0}
        initial |= {f"is_current{d}": 0}
        rules += _daemon_rules(d, variant)
    return Machine(initial, tuple(rules), _bad, _invariant)


def _bad(s: State) -> z3.BoolRef:
    """Return whether a daemon has read the root and has other settings in force."""
    return z3.Or(
        [
            z3.And(s[f"is_current{d}"] == 1, s[f"force_text{d}"] != s["text"])
            for d in DAEMONS
        ]
    )


def _changes(revision: z3.ArithRef, made: z3.ArithRef) -> z3.ArithRef:
    """Return the number of changes that led to a revision."""
    return revision - SKIPPED * made


def _invariant(s: State) -> z3.BoolRef:
    """Return the inductive invariant: equal revisions have equal settings."""
    era, made, copy_made = s["era"], s["made"], s["copy_made"]
    changes = _changes(s["revision"], made)
    copy_changes = _changes(s["copy_revision"], copy_made)
    is_copy = z3.And(
        changes == copy_changes, made == copy_made, s["text"] == s["copy_text"]
    )
    parts = [
        copy_made <= made,
        made <= era,
        copy_changes <= changes,
        z3.Implies(made < era, is_copy),
        z3.Implies(changes == copy_changes, is_copy),
    ]
    for d in DAEMONS:
        force, force_made = s[f"force{d}"], s[f"force_made{d}"]
        force_text = s[f"force_text{d}"]
        force_changes = _changes(force, force_made)
        parts += [
            force_made <= era,
            z3.Implies(force_made == era, z3.And(made == era, force <= s["revision"])),
            z3.Implies(
                z3.And(force_made == made, force == s["revision"]),
                force_text == s["text"],
            ),
            z3.Implies(
                z3.And(force_made == copy_made, force == s["copy_revision"]),
                force_text == s["copy_text"],
            ),
            z3.Implies(force_made > copy_made, force_changes > copy_changes),
            z3.Implies(
                force_made < era,
                force_changes - copy_changes < SKIPPED * (era - force_made),
            ),
            z3.Implies(
                force_made < copy_made,
                force_changes - copy_changes < SKIPPED * (copy_made - force_made),
            ),
            z3.Implies(s[f"is_current{d}"] == 1, force_text == s["text"]),
        ]
    return z3.And(*parts)


def _replace_root(s: State, text: z3.ArithRef, variant: Variant) -> Update:
    """Return the root after a change, which no daemon has read yet."""
    match variant:
        case Variant.NUMBERS_GIVEN_OUT_AGAIN:
            skipped = z3.IntVal(0)
        case Variant.SKIP_ONCE:
            skipped = z3.If(s["era"] > s["made"], SKIPPED, 0)
        case _:
            skipped = SKIPPED * (s["era"] - s["made"])
    return {
        "revision": s["revision"] + 1 + skipped,
        "made": s["era"],
        "text": text,
    } | {f"is_current{d}": 0 for d in DAEMONS}


def _store_rules(variant: Variant) -> list[Rule]:
    def lost_changes(s: State) -> z3.ArithRef:
        return _changes(s["revision"], s["made"]) - _changes(
            s["copy_revision"], s["copy_made"]
        )

    return [
        Rule(
            "an operator's change is stored",
            lambda s: z3.BoolVal(True),
            lambda s: {
                **_replace_root(s, s["texts"] + 1, variant),
                "texts": s["texts"] + 1,
            },
        ),
        Rule(
            "the store is copied",
            lambda s: z3.BoolVal(True),
            lambda s: {f"copy_{n}": s[n] for n in ("revision", "made", "text")},
        ),
        Rule(
            "the store comes back from the copy",
            lambda s: lost_changes(s) < SKIPPED,
            lambda s: (
                {n: s[f"copy_{n}"] for n in ("revision", "made", "text")}
                | {"era": s["era"] + 1}
                | {f"is_current{d}": 0 for d in DAEMONS}
            ),
        ),
    ]


def _daemon_rules(d: int, variant: Variant) -> list[Rule]:
    force, force_made, force_text = f"force{d}", f"force_made{d}", f"force_text{d}"
    is_current = f"is_current{d}"
    peer = DAEMONS[0] if d == DAEMONS[1] else DAEMONS[1]

    def is_lost(s: State) -> z3.BoolRef:
        return z3.And(s["revision"] < s[force], s["made"] < s["era"])

    def read_root(s: State) -> Update:
        is_newer = s["revision"] > s[force]
        return {
            force: z3.If(is_newer, s["revision"], s[force]),
            force_made: z3.If(is_newer, s["made"], s[force_made]),
            force_text: z3.If(is_newer, s["text"], s[force_text]),
            is_current: 1,
        }

    rules = [
        Rule(
            f"daemon {d} reads the root",
            lambda s: (
                z3.BoolVal(True)
                if variant is Variant.NOT_STORED_AGAIN
                else z3.Not(is_lost(s))
            ),
            read_root,
        ),
        Rule(
            f"daemon {d} hears from its peer",
            lambda s: s[f"force{peer}"] > s[force],
            lambda s: {
                force: s[f"force{peer}"],
                force_made: s[f"force_made{peer}"],
                force_text: s[f"force_text{peer}"],
                is_current: 0,
            },
        ),
    ]
    if variant is not Variant.NOT_STORED_AGAIN:
        rules.append(
            Rule(
                f"daemon {d} stores again what the store lost",
                is_lost,
                lambda s: _replace_root(s, s[force_text], variant),
            )
        )
    return rules
