"""Steps for requests that a daemon can't send on as they are."""

import itertools
from typing import Any

from behave import then, when
from version_steps import receive_stream


@when(
    '"{name}" spoils an event identifier of its streams and {count:d} generations with'
    " {size:d} bytes are requested"
)
def spoil(context: Any, name: str, count: int, size: int) -> None:
    context.site.servers[name].mode = "spoil"
    context.stream_numbers = itertools.count(1)
    context.streams = [
        [receive_stream(context, n % 2, body="x" * size)] for n in range(count)
    ]
    assert context.site.servers[name].executed, f"{name} got no request"


@when(
    "{count:d} lookups with {size:d} bytes come with the header Connection: {options}"
)
def send_lookups(context: Any, count: int, size: int, options: str) -> None:
    context.lookups = [
        context.site.call("/lookup/7", {"connection": options}, n % 2, "x" * size)
        for n in range(count)
    ]


@then("they were answered, and the servers got their identifiers")
def were_answered(context: Any) -> None:
    statuses = [answer.status_code for answer in context.lookups]
    assert statuses == [200] * len(statuses), statuses
    sent = {a.request.headers["cowsliphitch-request-id"] for a in context.lookups}
    assert set(context.site.executed()) == sent, context.site.executed()


@then("no daemon has ended")
def none_has_ended(context: Any) -> None:
    codes = [daemon["process"].poll() for daemon in context.site.daemons]
    assert codes == [None] * len(codes), codes
