"""Steps that run parsers on generated input."""

from collections.abc import Callable
from typing import Any

from behave import then
from google.protobuf.message import DecodeError
from hypothesis import HealthCheck, given, seed, settings, strategies as st
from result import Err, Ok

from cowsliphitch.callers.models import PipelineBody
from cowsliphitch.core.codec import from_json
from cowsliphitch.core.orders.models import Head, parse_key
from cowsliphitch.core.settings.schema import load_settings
from cowsliphitch.core.tokens import matches, owner_of
from cowsliphitch.peers.wire import convert, peers_pb2 as pb
from cowsliphitch.upstreams.engines.client import Chunk, End, Failed, TokenLineReader
from cowsliphitch.upstreams.transport.models import StageAnswer

SEED = 20_261_204

json_like = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
).map(lambda value: repr(value).replace("'", '"').encode("utf-8", "replace"))
any_input = st.binary(max_size=200) | json_like


def assert_result(outcome: Any) -> None:
    assert isinstance(outcome, Ok | Err), outcome


def parse_stream_lines(raw: bytes) -> None:
    events = TokenLineReader("attempt", 0).feed(raw + b"\n")
    assert all(isinstance(event, Chunk | End | Failed) for event in events)
    assert not any(isinstance(event, End) for event in events), (
        "malformed input gave an end mark"
    )


def parse_digest(raw: bytes) -> None:
    try:
        digest = pb.Digest.FromString(raw)
    except DecodeError:
        return
    if (
        len({len(digest.ids), len(digest.heartbeat_ages), len(digest.version_ages)})
        == 1
    ):
        convert.summary_from_digest(digest)
    [convert.member_from_wire(record) for record in digest.records]


def parse_token(raw: bytes) -> None:
    text = raw.decode("utf-8", "replace")
    assert isinstance(owner_of(text), str)
    assert matches(text, text) is False


PARSERS: dict[str, Callable[[bytes], None]] = {
    "the settings": lambda raw: assert_result(
        load_settings(raw.decode("utf-8", "replace"))
    ),
    "a request's body": lambda raw: assert_result(from_json(raw, PipelineBody)),
    "an upstream's answer": lambda raw: assert_result(from_json(raw, StageAnswer)),
    "a stream's lines": parse_stream_lines,
    "an idempotency key": lambda raw: assert_result(
        parse_key("team", raw.decode("utf-8", "replace"), 10**12, 3_600_000)
    ),
    "a peer's digest": parse_digest,
    "a stored log head": lambda raw: assert_result(from_json(raw, Head)),
    "a bearer token": parse_token,
}


@then("{count:d} generated inputs to {parser} give a value or a typed error")
def run_parser_on_generated_inputs(context: Any, count: int, parser: str) -> None:
    parse = PARSERS[parser]

    @seed(SEED)
    @settings(
        max_examples=count,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(any_input)
    def run(raw: bytes) -> None:
        parse(raw)

    run()
