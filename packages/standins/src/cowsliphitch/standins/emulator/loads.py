"""Scenarios to replay: pools of the sizes in use, near their capacity at the worst."""

import random

import attrs

from cowsliphitch.core.deployment.models import StagePool, StageSpec

from .stages import Burst, RequestKind, Scenario, ServerFault

MB = 1_000_000


def _pool(batch: int, piece_ms: float, memory_mb: float) -> StagePool:
    return StagePool(
        slots=1,
        queue=2,
        batch=batch,
        call_ms=150.0,
        piece_ms=piece_ms,
        result_memory_bytes=round(memory_mb * MB),
        result_ttl_ms=4_000,
    )


def _draw_optional_pieces(rng: random.Random) -> int:
    """Draw the pieces of an optional stage, which 3 in 10 requests skip."""
    return rng.choice((0, 0, 0, 1, 1, 2, 2, 3, 4, 5))


_LARGE_STAGE = StageSpec("encode", (), 3 * MB)
_CHAIN_STAGES = (
    StageSpec("encode", (), 8_000),
    StageSpec("retrieve", (0,), 60_000),
    StageSpec("rerank", (1,), 6_000),
)


def _chain_with_large_branch() -> tuple[StageSpec, ...]:
    return (
        _LARGE_STAGE,
        StageSpec("encode", (), 8_000),
        StageSpec("retrieve", (1,), 60_000),
        StageSpec("rerank", (2,), 6_000),
    )


def three_server_pools(duration_ms: int = 34_000) -> Scenario:
    """Return three servers for each pool, near their capacity during bursts."""
    return Scenario(
        pools={
            "encode": _pool(5, 25.6, 31.875),
            "retrieve": _pool(18, 7.09, 3.027),
            "rerank": _pool(35, 3.72, 0.625),
        },
        server_counts={"encode": 3, "retrieve": 3, "rerank": 3},
        kinds=(
            RequestKind(
                "diagnosis",
                (_LARGE_STAGE,),
                9.1,
                lambda rng: (_draw_optional_pieces(rng),),
                1_000,
                4_000,
                200,
                2.8,
                0.42,
            ),
            RequestKind(
                "summary",
                _CHAIN_STAGES,
                3.6,
                lambda rng: (1, 8, rng.randrange(8, 25)),
                1_700,
                6_800,
                160,
                2.5,
                0.38,
            ),
            RequestKind(
                "question",
                _chain_with_large_branch(),
                8.5,
                lambda rng: (rng.choice((0, 0, 1, 1, 2)), 1, 8, rng.randrange(8, 25)),
                1_500,
                6_000,
                60,
                0.4,
                0.06,
            ),
        ),
        duration_ms=duration_ms,
    )


def four_server_pools(duration_ms: int = 34_000) -> Scenario:
    """Return four servers for each pool, with little memory for results."""
    return Scenario(
        pools={
            "encode": _pool(4, 32.0, 18.0),
            "retrieve": _pool(4, 32.0, 0.8),
            "rerank": _pool(13, 9.85, 0.2145),
        },
        server_counts={"encode": 4, "retrieve": 4, "rerank": 4},
        kinds=(
            RequestKind(
                "draft",
                _chain_with_large_branch(),
                4.0,
                lambda rng: (rng.choice((0, 0, 1, 1, 2)), 1, 6, rng.randrange(8, 25)),
                2_200,
                8_800,
                330,
                2.8,
                0.42,
            ),
            RequestKind(
                "verse",
                _CHAIN_STAGES,
                1.6,
                lambda rng: (1, 6, rng.randrange(8, 25)),
                1_900,
                7_600,
                200,
                2.5,
                0.38,
            ),
            RequestKind(
                "tag",
                (_LARGE_STAGE,),
                3.8,
                lambda rng: (_draw_optional_pieces(rng),),
                1_000,
                4_000,
                70,
                0.39,
                0.058,
            ),
        ),
        duration_ms=duration_ms,
        domain_count=4,
    )


def shared_engines(duration_ms: int = 40_000) -> Scenario:
    """Return classes of three priorities that share pools and engines, near capacity.

    A server of the first pool has memory for 14 large results.
    """
    return Scenario(
        pools={
            "encode": _pool(5, 25.6, 43.0),
            "retrieve": _pool(18, 7.09, 3.027),
            "rerank": _pool(35, 3.72, 0.625),
        },
        server_counts={"encode": 5, "retrieve": 5, "rerank": 5},
        kinds=(
            RequestKind(
                "consult",
                (_LARGE_STAGE,),
                9.0,
                lambda rng: (_draw_optional_pieces(rng),),
                1_263,
                5_000,
                250,
                2.8,
                0.42,
                priority=0,
            ),
            RequestKind(
                "report",
                _chain_with_large_branch(),
                10.0,
                lambda rng: (rng.choice((0, 0, 1, 1, 2)), 1, 8, rng.randrange(8, 25)),
                3_045,
                12_000,
                160,
                1.0,
                0.15,
                priority=2,
            ),
            RequestKind(
                "chat",
                _CHAIN_STAGES,
                12.0,
                lambda rng: (1, 8, rng.randrange(8, 25)),
                1_526,
                6_000,
                90,
                0.4,
                0.06,
                priority=4,
            ),
        ),
        duration_ms=duration_ms,
        engine_count=7,
    )


def with_bursts(scenario: Scenario, *bursts: Burst) -> Scenario:
    """Return a copy of a scenario with bursts of its arrival rate."""
    return attrs.evolve(scenario, bursts=bursts)


def with_faults(scenario: Scenario, *faults: ServerFault) -> Scenario:
    """Return a copy of a scenario with server faults."""
    return attrs.evolve(scenario, faults=faults)
