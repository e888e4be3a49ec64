"""The order claims: one key, two daemons that want it, and a peer that helps.

The key-value service is a log with a revision.  A write names the revision that its
writer read: it is *fresh* while the revision stands, else *stale*, and a stale write
changes nothing.  Writes may be delayed for ever, and their answers may be lost.

``docs/design/orders.md`` says which line of the code each rule stands for.
"""

import enum
from typing import Final

import z3

from .machine import Machine, Rule, State, Update

DAEMONS: Final = (1, 2)

# The key in the log: free, claimed by 1 or 2, released by 1 or 2.
FREE: Final = 0
CLAIMED: Final = 0  # plus the daemon's number
RELEASED: Final = 2  # plus the daemon's number

# What a daemon is doing.
IDLE, READ, SENT, OWNED, DISPATCHED, GIVEN_UP = range(6)

# A write under way.
NONE, FRESH, STALE = range(3)


class Variant(enum.Enum):
    """The protocol, and ways to break it."""

    CORRECT = "correct"
    DISPATCH_BEFORE_KNOWN = "dispatch before the claim is known"
    BLIND_WRITE = "write without comparing the revision"
    PEER_RELEASES = "a peer releases a claim that it appended"
    DISPATCH_AFTER_GIVING_UP = "dispatch after the claim was given up"
    CLAIM_OVER_CLAIM = "claim without looking for an earlier claim"


def machine(variant: Variant) -> Machine:
    """Return the state machine of a variant."""
    initial = {"log": FREE, "runs": 0, "refused_ran": 0}
    rules: list[Rule] = []
    for daemon in DAEMONS:
        initial |= {
            f"pc{daemon}": IDLE,
            f"view{daemon}": STALE,
            f"claim{daemon}": NONE,
            f"old{daemon}": NONE,
            f"release{daemon}": NONE,
            f"peer{daemon}": NONE,
        }
        rules += _rules(daemon, variant)
    return Machine(initial, tuple(rules), _bad, _invariant)


def _bad(s: State) -> z3.BoolRef:
    return z3.Or(s["runs"] > 1, s["refused_ran"] > 0)


def _invariant(s: State) -> z3.BoolRef:
    """Return what holds in every reachable state.

    A fresh claim means that the key can be claimed; a daemon that owns or dispatched
    the order has its claim in the log; only a daemon that gave up releases.
    """
    domain = [s["log"] >= FREE, s["log"] <= RELEASED + len(DAEMONS)]
    dispatched = z3.Sum([z3.If(s[f"pc{d}"] == DISPATCHED, 1, 0) for d in DAEMONS])
    counts = [s["runs"] == dispatched, s["refused_ran"] == 0]
    return z3.And(domain + counts + [_daemon_invariant(s, d) for d in DAEMONS])


def _daemon_invariant(s: State, d: int) -> z3.BoolRef:
    pc, release = s[f"pc{d}"], s[f"release{d}"]
    writes = [s[f"{kind}{d}"] for kind in ("view", "claim", "old", "peer")]
    free_or_own = z3.Or(s["log"] == FREE, s["log"] == CLAIMED + d)
    return z3.And(
        *[z3.Implies(write == FRESH, _claimable(s)) for write in writes],
        z3.Implies(z3.Or(pc == OWNED, pc == DISPATCHED), s["log"] == CLAIMED + d),
        z3.Implies(release != NONE, pc == GIVEN_UP),
        z3.Implies(release == FRESH, free_or_own),
    )


def _claimable(s: State) -> z3.BoolRef:
    return z3.Or(s["log"] == FREE, s["log"] > RELEASED)


def _written(s: State, log: int) -> Update:
    """Return the effect of a write that took: everything read before is stale."""
    stale = {
        f"{kind}{daemon}": z3.If(
            s[f"{kind}{daemon}"] == FRESH, z3.IntVal(STALE), s[f"{kind}{daemon}"]
        )
        for daemon in DAEMONS
        for kind in ("view", "claim", "old", "release", "peer")
    }
    return {**stale, "log": log}


def _rules(d: int, variant: Variant) -> list[Rule]:
    pc, view, claim, old = f"pc{d}", f"view{d}", f"claim{d}", f"old{d}"
    release, peer = f"release{d}", f"peer{d}"
    blind = variant is Variant.BLIND_WRITE

    def takes(s: State, write: str) -> z3.BoolRef:
        return s[write] != NONE if blind else s[write] == FRESH

    def may_claim(s: State) -> z3.BoolRef:
        if variant is Variant.CLAIM_OVER_CLAIM:
            return z3.BoolVal(True)
        return z3.And(_claimable(s), s["log"] != RELEASED + d)

    def dispatchable(s: State) -> z3.BoolRef:
        states = [s[pc] == OWNED]
        if variant is Variant.DISPATCH_BEFORE_KNOWN:
            states.append(s[pc] == SENT)
        if variant is Variant.DISPATCH_AFTER_GIVING_UP:
            states.append(s[pc] == GIVEN_UP)
        return z3.Or(states)

    def dispatch(s: State) -> Update:
        was_refused = z3.If(s[pc] == GIVEN_UP, s["refused_ran"] + 1, s["refused_ran"])
        return {pc: DISPATCHED, "runs": s["runs"] + 1, "refused_ran": was_refused}

    rules = [
        Rule(
            f"{d} reads that the key can be claimed",
            lambda s: z3.And(s[pc] == IDLE, may_claim(s)),
            lambda s: {pc: READ, view: FRESH},
        ),
        Rule(
            f"{d} reads that its claim is in the log",
            lambda s: z3.And(s[pc] == IDLE, s["log"] == CLAIMED + d),
            lambda s: {pc: OWNED},
        ),
        Rule(
            f"{d} sends its claim",
            lambda s: z3.And(s[pc] == READ, s[claim] == NONE),
            lambda s: {pc: SENT, claim: s[view]},
        ),
        Rule(
            f"{d}'s claim takes effect and it hears so",
            lambda s: z3.And(s[pc] == SENT, takes(s, claim)),
            lambda s: {**_written(s, CLAIMED + d), claim: NONE, pc: OWNED},
        ),
        Rule(
            f"{d}'s claim takes effect and the answer is lost",
            lambda s: z3.And(s[claim] != NONE, takes(s, claim)),
            lambda s: {
                **_written(s, CLAIMED + d),
                claim: NONE,
                pc: z3.If(s[pc] == SENT, z3.IntVal(IDLE), s[pc]),
            },
        ),
        Rule(
            f"{d}'s claim meets a newer revision",
            lambda s: z3.And(s[pc] == SENT, s[claim] == STALE),
            lambda s: {claim: NONE, pc: IDLE},
        ),
        Rule(
            f"{d} hears nothing, and its claim is still under way",
            lambda s: z3.And(s[pc] == SENT, s[claim] != NONE, s[old] == NONE),
            lambda s: {old: s[claim], claim: NONE, pc: IDLE},
        ),
        Rule(
            f"{d}'s delayed claim takes effect",
            lambda s: takes(s, old),
            lambda s: {**_written(s, CLAIMED + d), old: NONE},
        ),
        Rule(
            f"{d} asks a peer, which reads that the key can be claimed",
            lambda s: z3.And(s[pc] == IDLE, s[peer] == NONE, may_claim(s)),
            lambda s: {peer: FRESH},
        ),
        Rule(
            f"the peer's write of {d}'s claim takes effect",
            lambda s: takes(s, peer),
            lambda s: {**_written(s, CLAIMED + d), peer: NONE},
        ),
        Rule(
            f"{d} gives up",
            lambda s: z3.Or(s[pc] == IDLE, s[pc] == READ, s[pc] == SENT),
            lambda s: {pc: GIVEN_UP},
        ),
        Rule(
            f"{d} sends its release",
            lambda s: z3.And(
                s[pc] == GIVEN_UP,
                s[release] == NONE,
                z3.Or(s["log"] == FREE, s["log"] == CLAIMED + d),
            ),
            lambda s: {release: FRESH},
        ),
        Rule(
            f"{d}'s release takes effect",
            lambda s: takes(s, release),
            lambda s: {**_written(s, RELEASED + d), release: NONE},
        ),
        Rule(f"{d} dispatches", dispatchable, dispatch),
    ]
    if variant is Variant.PEER_RELEASES:
        rules.append(
            Rule(
                f"the peer gives {d}'s claim up and releases it",
                lambda s: s["log"] == CLAIMED + d,
                lambda s: _written(s, RELEASED + d),
            )
        )
    return rules
