"""Start and reset the fleets of processes that tagged features run against."""

from typing import Any

import parse
from behave import register_type

from cowsliphitch.standins.fleet import Fleet
from cowsliphitch.standins.scenario import start


@parse.with_pattern(r"[\w.-]+")
def parse_word(text: str) -> str:
    """Match a word without spaces, such as the name of a daemon."""
    return text


register_type(Word=parse_word)

FLEET_TAG = "fleet"
RELAYED_TAG = "relayed"
DAEMON_COUNT = 3


def before_feature(context: Any, feature: Any) -> None:
    """Start one fleet for all scenarios of a feature with the tag ``fleet``.

    With the tag ``relayed``, connections between daemons go through relays.
    """
    context.fleet = None
    if FLEET_TAG not in feature.tags:
        return
    context.fleet = Fleet(relayed=RELAYED_TAG in feature.tags)
    try:
        start(context.fleet, DAEMON_COUNT)
    except BaseException:
        context.fleet.__exit__()
        raise


def before_scenario(context: Any, _scenario: Any) -> None:
    """Restore the fleet, so that a scenario does not depend on the previous one."""
    context.keys = {}
    context.answers = {}
    context.jobs = {}
    context.begun = set()
    if context.fleet is not None:
        reset_fleet(context.fleet)


def reset_fleet(fleet: Fleet) -> None:
    """Restart ended processes, reset all faults and wait until the fleet is ready."""
    ended = [name for name, p in fleet.processes.items() if not p.alive]
    for name in ended:
        fleet.restart_standin(name)
    for name in [name for name, d in fleet.daemons.items() if not d.alive]:
        fleet.restart_daemon(name)
    fleet.wait_until_up()
    for name in fleet.processes:
        fleet.reset_faults(name)
    fleet.bring_back()
    fleet.publish_vms()
    fleet.wait_until_ready()


def after_feature(context: Any, _feature: Any) -> None:
    """Stop the fleet of a feature."""
    if context.fleet is not None:
        context.fleet.__exit__()
        context.fleet = None
