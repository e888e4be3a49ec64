"""What every scenario gets: nothing but a clean context."""

from typing import Any


def after_scenario(context: Any, _scenario: Any) -> None:
    """End the processes that a scenario started."""
    fleet = getattr(context, "fleet", None)
    if fleet is not None:
        fleet.__exit__()
        context.fleet = None
