"""Steps on differences between versions of a document."""

import copy
import hashlib
import itertools
import json
import random
from typing import Any

from behave import given, then, when
from result import Err, Ok

from cowsliphitch.core.documents.difference import (
    MAX_DOCUMENT_BYTES,
    apply_difference,
    compress,
    decompress,
    encode_difference,
)


def encode(content: Any) -> bytes:
    return json.dumps(content).encode()


def route(number: int) -> dict[str, Any]:
    digest = hashlib.sha256(str(number).encode()).hexdigest()
    return {
        "name": f"route-{number}",
        "hostname": f"host-{number % 40}.example",
        "prefix": f"/p{digest[:12]}/",
        "kind": "idempotent",
        "timeout_ms": 5_000,
        "stages": [{"service": "encode", "after": [], "byte_count": number}],
        "note": "x" * 120,
    }


def random_document(rng: random.Random) -> dict[str, Any]:
    numbers = [rng.randrange(60) for _ in range(rng.randrange(30))]
    keys = [f"key-{rng.randrange(99)}" for _ in range(rng.randrange(20))]
    return {"version": 1, "routes": [route(n) for n in numbers], "keys": keys}


def edit(rng: random.Random, document: dict[str, Any]) -> bytes:
    edited = copy.deepcopy(document)
    for _ in range(rng.randrange(4)):
        rows = edited["routes"] if rng.random() < 0.7 else edited["keys"]
        match rng.randrange(4):
            case 0:
                rows.insert(rng.randint(0, len(rows)), route(rng.randrange(90)))
            case 1 if rows:
                del rows[rng.randrange(len(rows))]
            case 2:
                rng.shuffle(rows)
            case _:
                edited["version"] += 1
    content = bytearray(encode(edited))
    if rng.random() < 0.3:
        at = rng.randrange(len(content))
        content[at : at + rng.randrange(9)] = rng.randbytes(rng.randrange(9))
    return bytes(content)


@when("300 random documents are edited at random and sent as differences")
def random_edits(context: Any) -> None:
    rng = random.Random(6)
    documents = [random_document(rng) for _ in range(300)]
    context.pairs = [(encode(d), edit(rng, d)) for d in documents]


@when("empty and odd texts are sent as differences to each other")
def odd_documents(context: Any) -> None:
    texts = (b"", b"{}", b"},{", b"a,b", b"},{},{")
    context.pairs = list(itertools.product(texts, texts))


@then("each result is the edited document")
def results_are_right(context: Any) -> None:
    for base, target in context.pairs:
        result = apply_difference(base, encode_difference(base, target))
        assert result == Ok(target), (base, target, result)


@when("50 differences are applied to other documents")
def other_bases(context: Any) -> None:
    rng = random.Random(7)
    context.results = []
    for _ in range(50):
        document = random_document(rng)
        difference = encode_difference(encode(document), edit(rng, document))
        other = encode(document | {"version": 7})
        context.results += [apply_difference(base, difference) for base in (other, b"")]


@then("none of them has a result")
def no_results(context: Any) -> None:
    assert all(isinstance(result, Err) for result in context.results)


@when("differences are damaged in any byte, cut off or lengthened")
def damaged(context: Any) -> None:
    rng = random.Random(8)
    document = random_document(rng)
    base = encode(document)
    context.target = edit(rng, document) + b"end"
    intact = encode_difference(base, context.target)
    context.results = []
    for position in range(len(intact)):
        changed = bytearray(intact)
        changed[position] ^= 1 << rng.randrange(8)
        for content in (bytes(changed), intact[:position]):
            context.results.append(apply_difference(base, content))
    context.results.append(apply_difference(base, intact + b"x"))


@then("none of them leads to another document")
def no_other_document(context: Any) -> None:
    # Bits that pad the end of the compressed stream have no meaning.
    results = [r for r in context.results if isinstance(r, Ok)]
    assert all(r == Ok(context.target) for r in results), results
    assert len(results) <= 1, len(results)


@then("a compressed document is read back, but not if it is cut off or 9 MB long")
def compressed(context: Any) -> None:
    content = encode([route(n) for n in range(20)])
    assert decompress(compress(content)) == Ok(content)
    assert isinstance(decompress(compress(content)[:-1]), Err)
    assert isinstance(decompress(compress(bytes(MAX_DOCUMENT_BYTES + 1))), Err)


@given("a document of 1400 routes and 500 KB")
def large(context: Any) -> None:
    keys = [{"name": f"t{n}", "api_keys": [f"{n}-a", f"{n}-b"]} for n in range(200)]
    context.large = {
        "version": 1,
        "routes": [route(n) for n in range(1_400)],
        "tenants": keys,
    }
    context.base = encode(context.large)
    assert 450_000 < len(context.base) < 550_000, len(context.base)


@when("a key is revoked")
def revoke(context: Any) -> None:
    del context.large["tenants"][70]["api_keys"][0]


@when("a route is changed")
def change_route(context: Any) -> None:
    context.large["routes"][700]["timeout_ms"] = 4_000


@when("{count:d} routes are added")
def add_routes(context: Any, count: int) -> None:
    context.large["routes"] += [route(1_400 + n) for n in range(count)]


@when("{count:d} routes are removed")
def remove_routes(context: Any, count: int) -> None:
    del context.large["routes"][100 : 100 + count]


@then("the difference has at most {count:d} bytes")
def difference_is_small(context: Any, count: int) -> None:
    target = encode(context.large | {"version": 2})
    difference = encode_difference(context.base, target)
    assert apply_difference(context.base, difference) == Ok(target)
    assert len(difference) <= count, len(difference)
