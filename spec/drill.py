"""Specification of a daemon's view of a server in a store that comes back from a copy.

The model has one server, which may report that it drains, other keys, and one daemon
that lists the store and watches it from a revision.  In a drill the store comes back
from the copy in a new era; numbers are given out again, and the server writes again.
A daemon whose view is up to date must know that the server drains, and one that has
heard it must not take the server for ready again.
"""

import enum

import z3

from .machine import Machine, Rule, State, Update


class Variant(enum.Enum):
    """The protocol, and faulty variants that must yield a counterexample."""

    CORRECT = "correct"
    ORDER_BY_NUMBER = "revisions are ordered by their number alone"
    WATCH_ACROSS_ERAS = "a watch goes on in another era"
    COPY_REPLACES_REPORT = "an entry of the copy replaces a report that was lost"


def machine(variant: Variant) -> Machine:
    """Return the state machine of a variant.

    ``written`` is the number of the server's entry, and ``says`` whether it drains
    there; ``known_era`` and ``known`` are the revision of the daemon's entry.
    """
    initial = {
        "era": 1,
        "head": 1,
        "written": 1,
        "says": 0,
        "drains": 0,
        "copy_head": 1,
        "copy_written": 1,
        "copy_says": 0,
        "view_era": 0,
        "view_at": 0,
        "known_era": 0,
        "known": 0,
        "believes": 0,
        "forgot": 0,
    }
    rules = _store_rules() + _daemon_rules(variant)
    return Machine(initial, tuple(rules), _bad, _invariant)


def _bad(s: State) -> z3.BoolRef:
    """Return whether an up-to-date view misses a report, or a report was forgotten."""
    is_current = z3.And(s["view_era"] == s["era"], s["view_at"] == s["head"])
    is_missed = z3.And(is_current, s["says"] == 1, s["believes"] == 0)
    return z3.Or(is_missed, s["forgot"] > 0)


def _invariant(s: State) -> z3.BoolRef:
    """Return the inductive invariant: a view of this era has all up to its revision."""
    of_this_era = s["view_era"] == s["era"]
    has_all = z3.Implies(
        z3.And(of_this_era, s["written"] <= s["view_at"], s["says"] == 1),
        s["believes"] == 1,
    )
    known_not_ahead = z3.Implies(s["known_era"] == s["era"], s["known"] <= s["written"])
    return z3.And(
        has_all,
        known_not_ahead,
        s["forgot"] == 0,
        s["known_era"] <= s["view_era"],
        s["view_era"] <= s["era"],
        z3.Implies(of_this_era, s["view_at"] <= s["head"]),
        s["written"] <= s["head"],
        s["copy_written"] <= s["copy_head"],
    )


def _store_rules() -> list[Rule]:
    def write_draining(s: State) -> Update:
        return {
            "drains": 1,
            "says": 1,
            "head": s["head"] + 1,
            "written": s["head"] + 1,
        }

    return [
        Rule(
            "another key changes",
            lambda s: z3.BoolVal(True),
            lambda s: {"head": s["head"] + 1},
        ),
        Rule("the server drains", lambda s: s["drains"] == 0, write_draining),
        Rule(
            "the server writes again",
            lambda s: z3.And(s["drains"] == 1, s["says"] == 0),
            write_draining,
        ),
        Rule(
            "the server registers again",
            lambda s: s["drains"] == 0,
            lambda s: {"head": s["head"] + 1, "written": s["head"] + 1},
        ),
        Rule(
            "the store is copied",
            lambda s: z3.BoolVal(True),
            lambda s: {
                "copy_head": s["head"],
                "copy_written": s["written"],
                "copy_says": s["says"],
            },
        ),
        Rule(
            "the store comes back from the copy",
            lambda s: z3.BoolVal(True),
            lambda s: {
                "era": s["era"] + 1,
                "head": s["copy_head"],
                "written": s["copy_written"],
                "says": s["copy_says"],
            },
        ),
    ]


def _daemon_rules(variant: Variant) -> list[Rule]:
    def read_entry(s: State, is_read: z3.BoolRef) -> Update:
        """Apply the server's entry, if it is read and not older than the known one."""
        if variant is Variant.ORDER_BY_NUMBER:
            is_newer = s["written"] >= s["known"]
        else:
            is_newer = z3.Or(
                s["era"] > s["known_era"],
                z3.And(s["era"] == s["known_era"], s["written"] >= s["known"]),
            )
        applies = z3.And(is_read, is_newer)
        if variant is Variant.COPY_REPLACES_REPORT:
            believes = z3.If(applies, s["says"], s["believes"])
        else:
            believes = z3.If(z3.And(applies, s["says"] == 1), 1, s["believes"])
        return {
            "believes": believes,
            "forgot": z3.If(
                z3.And(s["believes"] == 1, believes == 0), s["forgot"] + 1, s["forgot"]
            ),
            "known_era": z3.If(applies, s["era"], s["known_era"]),
            "known": z3.If(applies, s["written"], s["known"]),
            "view_era": s["era"],
            "view_at": s["head"],
        }

    def may_watch(s: State) -> z3.BoolRef:
        if variant is Variant.WATCH_ACROSS_ERAS:
            return z3.And(s["view_era"] > 0, s["view_at"] <= s["head"])
        return s["view_era"] == s["era"]

    return [
        Rule(
            "the daemon lists the store",
            lambda s: z3.Not(may_watch(s)),
            lambda s: read_entry(s, z3.BoolVal(True)),
        ),
        Rule(
            "the daemon's watch is answered",
            may_watch,
            lambda s: read_entry(s, s["written"] > s["view_at"]),
        ),
    ]
