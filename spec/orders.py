"""Specification of the order claims: each order runs at most once.

The model has one key, two daemons that claim it, and a peer that appends for them.  The
key-value service is a log with a revision.  A write carries the revision that its
writer read: it is *fresh* while that revision is current, else *stale*, and a stale
write changes nothing.  Writes may be delayed without bound, and their answers may be
lost.

``docs/design/orders.md`` maps each rule to the line of code that it models.
"""

import enum
from typing import Final

import z3

from .machine import Machine, Rule, State, Update

DAEMONS: Final = (1, 2)

# State of the key in the log: free, claimed by 1 or 2, released by 1 or 2.
FREE: Final = 0
CLAIMED: Final = 0  # plus the number of the daemon
RELEASED: Final = 2  # plus the number of the daemon

# State of a daemon.
IDLE, READ, SENT, OWNED, DISPATCHED, ABANDONED = range(6)

# State of a write in flight.
NONE, FRESH, STALE = range(3)


class Variant(enum.Enum):
    """The protocol, and faulty variants that must yield a counterexample."""

    CORRECT = "correct"
    DISPATCH_UNCONFIRMED_CLAIM = "dispatch before the claim is known"
    BLIND_WRITE = "write without comparing the revision"
    PEER_RELEASES = "a peer releases a claim that it appended"
    DISPATCH_AFTER_ABANDONING = "dispatch after the claim was given up"
    OVERWRITE_CLAIM = "claim without looking for an earlier claim"


def machine(variant: Variant) -> Machine:
    """Return the state machine of a variant.

    Per daemon, ``pc`` is its state, ``view`` the freshness of what it read, and
    ``claim``, ``old`` (a delayed claim), ``release`` and ``peer`` are its writes.
    """
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
        rules += _daemon_rules(daemon, variant)
    return Machine(initial, tuple(rules), _bad, _invariant)


def _bad(s: State) -> z3.BoolRef:
    """Return whether an order ran twice, or after it was refused as not run."""
    return z3.Or(s["runs"] > 1, s["refused_ran"] > 0)


def _invariant(s: State) -> z3.BoolRef:
    """Return the inductive invariant.

    A fresh claim implies that the key can be claimed; a daemon that owns or dispatched
    the order has its claim in the log; only a daemon that abandoned the order releases
    its claim.
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
        *[z3.Implies(write == FRESH, _is_claimable(s)) for write in writes],
        z3.Implies(z3.Or(pc == OWNED, pc == DISPATCHED), s["log"] == CLAIMED + d),
        z3.Implies(release != NONE, pc == ABANDONED),
        z3.Implies(release == FRESH, free_or_own),
    )


def _is_claimable(s: State) -> z3.BoolRef:
    return z3.Or(s["log"] == FREE, s["log"] > RELEASED)


def _apply_write(s: State, log: int) -> Update:
    """Return the effect of a successful write: all earlier reads become stale."""
    stale = {
        f"{kind}{daemon}": z3.If(
            s[f"{kind}{daemon}"] == FRESH, z3.IntVal(STALE), s[f"{kind}{daemon}"]
        )
        for daemon in DAEMONS
        for kind in ("view", "claim", "old", "release", "peer")
    }
    return {**stale, "log": log}


def _daemon_rules(d: int, variant: Variant) -> list[Rule]:
    pc, view, claim, delayed = f"pc{d}", f"view{d}", f"claim{d}", f"old{d}"
    release, peer = f"release{d}", f"peer{d}"
    blind = variant is Variant.BLIND_WRITE

    def can_take_effect(s: State, write: str) -> z3.BoolRef:
        return s[write] != NONE if blind else s[write] == FRESH

    def can_claim(s: State) -> z3.BoolRef:
        if variant is Variant.OVERWRITE_CLAIM:
            return z3.BoolVal(True)
        return z3.And(_is_claimable(s), s["log"] != RELEASED + d)

    def can_dispatch(s: State) -> z3.BoolRef:
        states = [s[pc] == OWNED]
        if variant is Variant.DISPATCH_UNCONFIRMED_CLAIM:
            states.append(s[pc] == SENT)
        if variant is Variant.DISPATCH_AFTER_ABANDONING:
            states.append(s[pc] == ABANDONED)
        return z3.Or(states)

    def dispatch(s: State) -> Update:
        refused_ran = z3.If(s[pc] == ABANDONED, s["refused_ran"] + 1, s["refused_ran"])
        return {pc: DISPATCHED, "runs": s["runs"] + 1, "refused_ran": refused_ran}

    rules = [
        Rule(
            f"{d} reads that the key can be claimed",
            lambda s: z3.And(s[pc] == IDLE, can_claim(s)),
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
            lambda s: z3.And(s[pc] == SENT, can_take_effect(s, claim)),
            lambda s: {**_apply_write(s, CLAIMED + d), claim: NONE, pc: OWNED},
        ),
        Rule(
            f"{d}'s claim takes effect and the answer is lost",
            lambda s: z3.And(s[claim] != NONE, can_take_effect(s, claim)),
            lambda s: {
                **_apply_write(s, CLAIMED + d),
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
            lambda s: z3.And(s[pc] == SENT, s[claim] != NONE, s[delayed] == NONE),
            lambda s: {delayed: s[claim], claim: NONE, pc: IDLE},
        ),
        Rule(
            f"{d}'s delayed claim takes effect",
            lambda s: can_take_effect(s, delayed),
            lambda s: {**_apply_write(s, CLAIMED + d), delayed: NONE},
        ),
        Rule(
            f"{d} asks a peer, which reads that the key can be claimed",
            lambda s: z3.And(s[pc] == IDLE, s[peer] == NONE, can_claim(s)),
            lambda s: {peer: FRESH},
        ),
        Rule(
            f"the peer's write of {d}'s claim takes effect",
            lambda s: can_take_effect(s, peer),
            lambda s: {**_apply_write(s, CLAIMED + d), peer: NONE},
        ),
        Rule(
            f"{d} gives up",
            lambda s: z3.Or(s[pc] == IDLE, s[pc] == READ, s[pc] == SENT),
            lambda s: {pc: ABANDONED},
        ),
        Rule(
            f"{d} sends its release",
            lambda s: z3.And(
                s[pc] == ABANDONED,
                s[release] == NONE,
                z3.Or(s["log"] == FREE, s["log"] == CLAIMED + d),
            ),
            lambda s: {release: FRESH},
        ),
        Rule(
            f"{d}'s release takes effect",
            lambda s: can_take_effect(s, release),
            lambda s: {**_apply_write(s, RELEASED + d), release: NONE},
        ),
        Rule(f"{d} dispatches", can_dispatch, dispatch),
    ]
    if variant is Variant.PEER_RELEASES:
        rules.append(
            Rule(
                f"the peer gives {d}'s claim up and releases it",
                lambda s: s["log"] == CLAIMED + d,
                lambda s: _apply_write(s, RELEASED + d),
            )
        )
    return rules
