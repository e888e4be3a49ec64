"""Specification of a stream that is taken up again while two versions are in service.

The model has one stream, two software versions and one daemon, which stands for all of
them: they are killed together.  The daemon reads which versions are in service, and
writes the version that began the stream to the store while it has seen both.  A stream
that broke off must go on at the version that began it, or not at all.

Assumption: a version that has an open stream leaves only after the daemon has written
that both were in service.  A server drains for two seconds, a write takes 250 ms.
"""

import enum

import z3

from .machine import Machine, Rule, State, Update

VERSIONS = (1, 2)


class Variant(enum.Enum):
    """The protocol, and faulty variants that must yield a counterexample."""

    CORRECT = "correct"
    MEMORY_ONLY = "the daemons do not read the store at their start"
    GUESS = "a stream without a record goes to any version"
    VERSIONS_NOT_STORED = "the versions in service are not stored"


def machine(variant: Variant) -> Machine:
    """Return the state machine of a variant.

    ``began`` is the version that began the stream, 0 without one, and ``text`` the one
    that wrote its last event; ``record`` and ``stored`` are what the daemon and the
    store know of it.  ``seen1`` and ``stored1`` say whether the daemon, and the store's
    records, name version 1 as in service.
    """
    initial = {
        "serving1": 1,
        "serving2": 0,
        "is_ready": 1,
        "seen1": 1,
        "seen2": 0,
        "stored1": 0,
        "stored2": 0,
        "record": 0,
        "stored": 0,
        "began": 0,
        "text": 0,
        "is_broken": 0,
    }
    rules = [
        *_daemon_rules(variant),
        *(rule for v in VERSIONS for rule in _version_rules(v, variant)),
    ]
    return Machine(initial, tuple(rules), _bad, _invariant)


def _bad(s: State) -> z3.BoolRef:
    """Return whether the stream has events of two versions."""
    return s["text"] != s["began"]


def _invariant(s: State) -> z3.BoolRef:
    """Return the inductive invariant: what began the stream is recorded, or seen."""
    names = ("serving", "seen", "stored")
    flags = [s[f"{name}{v}"] for name in names for v in VERSIONS]
    flags += [s["is_ready"], s["is_broken"]]
    return z3.And(
        *[z3.Or(flag == 0, flag == 1) for flag in flags],
        z3.Or([s["began"] == v for v in (0, *VERSIONS)]),
        s["text"] == s["began"],
        z3.Implies(s["is_broken"] == 1, s["began"] > 0),
        z3.Or(s["record"] == 0, s["record"] == s["began"]),
        z3.Or(s["stored"] == 0, s["stored"] == s["began"]),
        *[z3.Implies(s["began"] == v, _is_traceable(s, v)) for v in VERSIONS],
    )


def _is_traceable(s: State, version: int) -> z3.BoolRef:
    """Return whether a daemon knows, or can find out, that a version was in service."""
    is_seen = z3.And(s["is_ready"] == 1, s["record"] == 0)
    return z3.And(
        z3.Or(s[f"serving{version}"] == 1, s[f"stored{version}"] == 1),
        z3.Implies(is_seen, s[f"seen{version}"] == 1),
    )


def _daemon_rules(variant: Variant) -> list[Rule]:
    reads_store = variant is not Variant.MEMORY_ONLY

    def read(s: State) -> Update:
        def is_named(v: int) -> z3.BoolRef:
            sources = [s[f"seen{v}"] == 1, s[f"serving{v}"] == 1]
            return z3.Or(*sources, *([s[f"stored{v}"] == 1] if reads_store else []))

        stored = s["stored"] if reads_store else z3.IntVal(0)
        return {
            "is_ready": 1,
            "record": z3.If(s["record"] == 0, stored, s["record"]),
        } | {f"seen{v}": z3.If(is_named(v), 1, 0) for v in VERSIONS}

    def write(s: State) -> Update:
        names_versions = variant is not Variant.VERSIONS_NOT_STORED
        versions = {f"stored{v}": 1 for v in VERSIONS} if names_versions else {}
        return {"stored": s["record"]} | versions

    return [
        Rule("the daemon reads the store", lambda s: z3.BoolVal(True), read),
        Rule(
            "the daemon writes the stream",
            lambda s: z3.And(
                s["is_ready"] == 1, s["record"] == s["began"], _has_seen_both(s)
            ),
            write,
        ),
        Rule(
            "all daemons are killed",
            lambda s: z3.BoolVal(True),
            lambda s: {"is_ready": 0, "record": 0, "seen1": 0, "seen2": 0},
        ),
        Rule(
            "the stream breaks off",
            lambda s: s["began"] > 0,
            lambda s: {"is_broken": 1},
        ),
        Rule(
            "the stream is over, and the records of it expire",
            lambda s: s["began"] > 0,
            lambda s: (
                dict.fromkeys(("began", "text", "record", "stored", "is_broken"), 0)
                | {f"seen{v}": s[f"serving{v}"] for v in VERSIONS}
                | {f"stored{v}": 0 for v in VERSIONS}
            ),
        ),
    ]


def _has_seen_both(s: State) -> z3.BoolRef:
    return z3.And([s[f"seen{v}"] == 1 for v in VERSIONS])


def _version_rules(version: int, variant: Variant) -> list[Rule]:
    other = 3 - version

    def may_leave(s: State) -> z3.BoolRef:
        is_written = s[f"stored{version}"] == 1
        if variant is Variant.VERSIONS_NOT_STORED:
            is_written = _has_seen_both(s)
        is_free = z3.Or(s["began"] != version, is_written)
        return z3.And(s[f"serving{version}"] == 1, is_free)

    def is_bound(s: State) -> z3.BoolRef:
        """Return whether the daemon takes the stream for one of the version."""
        if variant is Variant.GUESS:
            return z3.Or(s["record"] == version, s["record"] == 0)
        is_only = z3.And(s[f"seen{version}"] == 1, s[f"seen{other}"] == 0)
        return z3.Or(s["record"] == version, z3.And(s["record"] == 0, is_only))

    return [
        Rule(
            f"version {version} starts",
            lambda s: z3.BoolVal(True),
            lambda s: {f"serving{version}": 1},
        ),
        Rule(
            f"version {version} leaves", may_leave, lambda s: {f"serving{version}": 0}
        ),
        Rule(
            f"a stream begins at version {version}",
            lambda s: z3.And(
                s["began"] == 0,
                s["is_ready"] == 1,
                s[f"seen{version}"] == 1,
                s[f"serving{version}"] == 1,
            ),
            lambda s: {"began": version, "text": version, "record": version},
        ),
        Rule(
            f"the stream is taken up again at version {version}",
            lambda s: z3.And(
                s["is_broken"] == 1,
                s["is_ready"] == 1,
                s[f"serving{version}"] == 1,
                is_bound(s),
            ),
            lambda s: {"text": version, "is_broken": 0, "record": version},
        ),
    ]
