"""Steps on the specifications."""

from typing import Any

from behave import then
from spec import config, orders
from spec.machine import counterexample, holds

MODULES = {"orders": orders, "config": config}
MAX_STEPS = 14


@then('the "{name}" specification holds for any number of steps')
def specification_holds(context: Any, name: str) -> None:
    module = MODULES[name]
    assert holds(module.machine(module.Variant.CORRECT))


@then('the "{name}" specification breaks with "{variant}"')
def specification_breaks(context: Any, name: str, variant: str) -> None:
    module = MODULES[name]
    broken = module.machine(module.Variant(variant))
    trace = counterexample(broken, MAX_STEPS)
    assert trace is not None, "the variant was not found to be broken"
    assert not holds(broken)
