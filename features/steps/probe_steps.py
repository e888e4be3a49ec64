"""Steps on the probe of an upstream whose connection was lost."""

from typing import Any

import anyio
from behave import given, then, when

from cowsliphitch.standins.processes import free_port
from cowsliphitch.upstreams.transport.probe import refuses_connections

TIMEOUT_MS = 250
CLOSED_AFTER_MS = {
    "is closed already": 0,
    "is closed 10 ms later": 10,
    "is closed 60 ms later": 60,
    "keeps listening": None,
}


@given("a listener that {does}")
def given_listener(context: Any, does: str) -> None:
    context.closed_after_ms = CLOSED_AFTER_MS[does]


@when("it is probed after a connection to it was lost")
def probe_listener(context: Any) -> None:
    port = free_port()

    async def probe() -> bool:
        listener = await anyio.create_tcp_listener(
            local_host="127.0.0.1", local_port=port
        )

        async def close_later() -> None:
            if context.closed_after_ms is not None:
                await anyio.sleep(context.closed_after_ms / 1_000)
                await listener.aclose()

        if context.closed_after_ms == 0:
            await listener.aclose()
        async with anyio.create_task_group() as group:
            group.start_soon(close_later)
            crashed = await refuses_connections(f"http://127.0.0.1:{port}", TIMEOUT_MS)
            group.cancel_scope.cancel()
        await listener.aclose()
        return crashed

    context.crashed = anyio.run(probe)


@then("it is {verdict} to have crashed")
def assert_crashed(context: Any, verdict: str) -> None:
    assert context.crashed is (verdict == "found"), context.crashed
