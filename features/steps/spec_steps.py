"""Steps that verify the protocol specifications."""

from typing import Any

from behave import then
from spec import config, config_drill, drill, order_drill, orders, streams
from spec.machine import counterexample, holds

SPECIFICATIONS = {
    "orders": orders,
    "config": config,
    "config drill": config_drill,
    "drill": drill,
    "order drill": order_drill,
    "streams": streams,
}
MAX_STEPS = 14


@then('the "{name}" specification holds for any number of steps')
def assert_specification_holds(context: Any, name: str) -> None:
    module = SPECIFICATIONS[name]
    assert holds(module.machine(module.Variant.CORRECT))


@then('the "{name}" specification breaks with "{variant}"')
def assert_variant_breaks(context: Any, name: str, variant: str) -> None:
    module = SPECIFICATIONS[name]
    faulty = module.machine(module.Variant(variant))
    trace = counterexample(faulty, MAX_STEPS)
    assert trace is not None, "no counterexample found for the faulty variant"
    assert not holds(faulty)
