"""Loads that are replayed: pools of the sizes in use, and their worst seconds."""

import random

import attrs

from cowsliphitch.core.deployment.models import StagePool, StageSpec

from .stages import Burst, Kind, Scenario, Trouble

MB = 1_000_000


def _pool(batch: int, piece_ms: float, room_mb: float) -> StagePool:
    return StagePool(
        slots=1,
        queue=2,
        batch=batch,
        call_ms=150.0,
        piece_ms=piece_ms,
        result_memory_bytes=round(room_mb * MB),
        result_ttl_ms=4_000,
    )


def _few_large(rng: random.Random) -> int:
    """Draw the pieces of a stage that a third of the requests leave out."""
    return rng.choice((0, 0, 0, 1, 1, 2, 2, 3, 4, 5))


_LARGE = StageSpec("encode", (), 3 * MB)
_CHAIN = (
    StageSpec("encode", (), 8_000),
    StageSpec("retrieve", (0,), 60_000),
    StageSpec("rerank", (1,), 6_000),
)


def _chain_after_large() -> tuple[StageSpec, ...]:
    return (
        _LARGE,
        StageSpec("encode", (), 8_000),
        StageSpec("retrieve", (1,), 60_000),
        StageSpec("rerank", (2,), 6_000),
    )


def three_each(length_ms: int = 34_000) -> Scenario:
    """Three servers in each pool, near their limit under bursts."""
    return Scenario(
        pools={
            "encode": _pool(5, 25.6, 31.875),
            "retrieve": _pool(18, 7.09, 3.027),
            "rerank": _pool(35, 3.72, 0.625),
        },
        servers={"encode": 3, "retrieve": 3, "rerank": 3},
        kinds=(
            Kind(
                "diagnosis",
                (_LARGE,),
                9.1,
                lambda rng: (_few_large(rng),),
                1_000,
                4_000,
                200,
                2.8,
                0.42,
            ),
            Kind(
                "summary",
                _CHAIN,
                3.6,
                lambda rng: (1, 8, rng.randrange(8, 25)),
                1_700,
                6_800,
                160,
                2.5,
                0.38,
            ),
            Kind(
                "question",
                _chain_after_large(),
                8.5,
                lambda rng: (rng.choice((0, 0, 1, 1, 2)), 1, 8, rng.randrange(8, 25)),
                1_500,
                6_000,
                60,
                0.4,
                0.06,
            ),
        ),
        length_ms=length_ms,
    )


def four_each(length_ms: int = 34_000) -> Scenario:
    """Four servers in each pool, whose memory for results is small."""
    return Scenario(
        pools={
            "encode": _pool(4, 32.0, 18.0),
            "retrieve": _pool(4, 32.0, 0.8),
            "rerank": _pool(13, 9.85, 0.2145),
        },
        servers={"encode": 4, "retrieve": 4, "rerank": 4},
        kinds=(
            Kind(
                "draft",
                _chain_after_large(),
                4.0,
                lambda rng: (rng.choice((0, 0, 1, 1, 2)), 1, 6, rng.randrange(8, 25)),
                2_200,
                8_800,
                330,
                2.8,
                0.42,
            ),
            Kind(
                "verse",
                _CHAIN,
                1.6,
                lambda rng: (1, 6, rng.randrange(8, 25)),
                1_900,
                7_600,
                200,
                2.5,
                0.38,
            ),
            Kind(
                "tag",
                (_LARGE,),
                3.8,
                lambda rng: (_few_large(rng),),
                1_000,
                4_000,
                70,
                0.39,
                0.058,
            ),
        ),
        length_ms=length_ms,
        domains=4,
    )


def with_bursts(scenario: Scenario, *bursts: Burst) -> Scenario:
    """Return a scenario with bursts."""
    return attrs.evolve(scenario, bursts=bursts)


def with_troubles(scenario: Scenario, *troubles: Trouble) -> Scenario:
    """Return a scenario with troubled servers."""
    return attrs.evolve(scenario, troubles=troubles)
