"""Fleets of processes for the features that need them."""

from typing import Any

import parse
from behave import register_type

from cowsliphitch.standins.fleet import Fleet
from cowsliphitch.standins.scenario import start_deployment


@parse.with_pattern(r"[\w.-]+")
def parse_word(text: str) -> str:
    """Read a word without spaces, such as a daemon's name."""
    return text


register_type(Word=parse_word)

FLEET_TAG = "fleet"
RELAYED_TAG = "relayed"
DAEMONS = 3


def before_feature(context: Any, feature: Any) -> None:
    """Start one fleet for all scenarios of a feature that asks for it."""
    context.fleet = None
    if FLEET_TAG not in feature.tags:
        return
    context.fleet = Fleet(with_relays=RELAYED_TAG in feature.tags)
    try:
        start_deployment(context.fleet, DAEMONS)
    except BaseException:
        context.fleet.__exit__()
        raise


def before_scenario(context: Any, _scenario: Any) -> None:
    """Heal the fleet, so that a scenario finds nothing of the one before."""
    context.keys = {}
    context.answers = {}
    context.jobs = {}
    context.begun = set()
    if context.fleet is not None:
        heal(context.fleet)


def heal(fleet: Fleet) -> None:
    """Reset every fault and start again what has ended."""
    ended = [name for name, p in fleet.processes.items() if not p.is_alive]
    for name in ended:
        fleet.restart_standin(name)
    for name in [name for name, d in fleet.daemons.items() if not d.is_alive]:
        fleet.restart_daemon(name)
    fleet.wait_until_up()
    for name in fleet.processes:
        fleet.reset_faults(name)
    fleet.relist_leaving_vms()
    fleet.publish_vms()
    fleet.wait_until_ready()


def after_feature(context: Any, _feature: Any) -> None:
    """End the processes of a feature."""
    if context.fleet is not None:
        context.fleet.__exit__()
        context.fleet = None
