"""Steps on evacuated failure domains, with a site of processes."""

import signal
import threading
import time
from typing import Any

from behave import given, then, when
from limit_steps import PATHS
from platform_steps import PROMPT_HEADERS, wait_for

from cowsliphitch.standins.site import put

GENERATION_HEADERS = PROMPT_HEADERS | {"cowsliphitch-pieces": "1,1"}


@given('"{name}" is in the failure domain "{domain}"')
def move_server(context: Any, name: str, domain: str) -> None:
    context.site.servers[name].domain = domain
    put(context.site.store, f"servers/{name}", context.site.servers[name].entry())


@when('the operator evacuates "{domain}"')
def evacuate(context: Any, domain: str) -> None:
    put(context.site.store, f"op/evacuate/{domain}", "{}")


@when('the operator takes "{domain}" back')
def take_back(context: Any, domain: str) -> None:
    put(context.site.store, f"op/evacuate/{domain}", None)


@when("the store answers nothing")
def freeze_store(context: Any) -> None:
    context.site.processes[0].send_signal(signal.SIGSTOP)


@when('the store answers again, and the operator takes "{domain}" back')
def resume_store(context: Any, domain: str) -> None:
    context.site.processes[0].send_signal(signal.SIGCONT)
    take_back(context, domain)


@then('within {ms:d} ms "{name}" receives requests')
def receives_requests(context: Any, ms: int, name: str) -> None:
    server = context.site.servers[name]
    before = len(server.executed)

    def has_received() -> bool:
        context.site.call("/lookup/1")
        return len(server.executed) > before

    wait_for(f"{name} receives requests", has_received, ms)


@when('the operator evacuates "{domain}" while a generation is at its engine')
def evacuate_during_generation(context: Any, domain: str) -> None:
    site, context.answers = context.site, []
    engines = [site.servers[name] for name in ("engine-1", "engine-2")]
    for engine in engines:
        engine.prefill_ms = 2_000

    def generate() -> None:
        context.answers.append(site.call("/generation/1", GENERATION_HEADERS))

    context.caller_thread = threading.Thread(target=generate)
    context.caller_thread.start()
    wait_for("an engine has it", lambda: any(engine.executed for engine in engines))
    evacuate(context, domain)
    time.sleep(1.0)


@then("the generation arrives complete")
def generation_is_complete(context: Any) -> None:
    context.caller_thread.join()
    assert context.answers[0].text.endswith("event\n\n"), context.answers


@then("lookups and generations are refused at once with Retry-After {value}")
def are_refused(context: Any, value: str) -> None:
    for path in (PATHS["lookups"], PATHS["generations"]):
        started_s = time.monotonic()
        answer = context.site.call(path, GENERATION_HEADERS)
        assert answer.status_code == 503, answer
        assert float(answer.headers["retry-after"]) == float(value), answer.headers
        assert time.monotonic() - started_s < 0.5
