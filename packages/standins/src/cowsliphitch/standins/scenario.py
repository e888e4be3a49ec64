"""Reference deployment: two failure domains, four stages and plain services.

The demo, the tests and most measurements run on it.
"""

import json
from typing import Any

import httpx
import yaml

from cowsliphitch.core import tokens

from .fleet import Fleet, FleetStartError
from .processes import UpstreamSpec

FAILURE_DOMAINS = ("sk-central-1", "sk-central-2")
TEAMS = {"technicians": 3, "dispatchers": 2, "warehouse": 1}

POOLS: dict[str, dict[str, Any]] = {
    "encoders": {"kind": "stage", "slots": 8, "refuses_before_running": True},
    "retrievers": {"kind": "stage", "slots": 8, "refuses_before_running": True},
    "rerankers": {"kind": "stage", "slots": 8, "refuses_before_running": True},
    "engines": {"kind": "engine", "slots": 8, "refuses_before_running": True},
    "order-desk": {"kind": "service", "slots": 8, "refuses_before_running": True},
    "records": {"kind": "service", "slots": 8, "refuses_before_running": True},
}

STAGES: list[dict[str, Any]] = [
    {"name": "encode", "pool": "encoders"},
    {"name": "retrieve", "pool": "retrievers"},
    {"name": "rerank", "pool": "rerankers"},
    {"name": "generate", "pool": "engines", "max_tokens": 32},
]


def upstream_specs(token_ms: float = 2.0, work_ms: int = 5) -> list[UpstreamSpec]:
    """Return one upstream of each pool in each failure domain.

    :param token_ms: time that an engine needs for one token
    :param work_ms: execution time of a call, and prefill time of an engine
    """
    kinds = {name: str(pool["kind"]) for name, pool in POOLS.items()}
    options = ("--work-ms", str(work_ms), "--token-ms", str(token_ms))
    return [
        UpstreamSpec(f"{pool}-{index}", kind, pool, domain, options)
        for index, domain in enumerate(FAILURE_DOMAINS, start=1)
        for pool, kind in kinds.items()
    ]


def settings_document(fleet: Fleet, **fleet_settings: Any) -> dict[str, Any]:
    """Return the settings tree of the deployment.

    :param fleet_settings: further entries of the ``fleet`` branch
    """
    return {
        "fleet": {"pools": POOLS, **fleet_settings},
        "pipelines": {
            "diagnosis": {"deadline": "10s", "stages": STAGES},
            "encode-only": {"deadline": "5s", "stages": STAGES[:1]},
        },
        "services": {
            "part-order": {"pool": "order-desk", "repeat": "once", "deadline": "5s"},
            "history": {"pool": "records", "repeat": "safe", "deadline": "5s"},
        },
        "teams": {
            name: {"share": share, "tokens": [tokens.digest(fleet.team_token(name))]}
            for name, share in TEAMS.items()
        },
    }


def store_settings(
    fleet: Fleet, daemon: str, document: dict[str, Any], note: str
) -> str:
    """Store a settings tree with the operators' command.

    :param daemon: name of the daemon to send it to
    :param note: note of the change, for the audit log
    :returns: output of the command
    :raises RuntimeError: if the command fails
    """
    path = fleet.folder / "settings.yaml"
    # YAML would write lists that are shared in the tree as aliases.
    without_aliases = json.loads(json.dumps(document))
    path.write_text(yaml.safe_dump(without_aliases))
    result = fleet.cli(daemon, "config", "store", str(path), "--note", note)
    if result.returncode != 0:
        raise RuntimeError(result.stdout + result.stderr)
    return result.stdout.strip()


def start_deployment(
    fleet: Fleet,
    daemons: int = 3,
    upstreams: list[UpstreamSpec] | None = None,
    document: dict[str, Any] | None = None,
    daemon_settings: dict[str, Any] | None = None,
) -> None:
    """Start the deployment, store its settings and wait until every daemon is ready.

    :param daemons: number of daemons, spread over the failure domains
    :param upstreams: upstreams to start instead of :func:`upstream_specs`
    :param document: settings tree instead of :func:`settings_document`
    :param daemon_settings: further entries of each daemon's settings file
    :raises FleetStartError: the fleet is not ready in time
    """
    fleet.start_platform()
    for spec in upstreams if upstreams is not None else upstream_specs():
        fleet.start_upstream(spec)
    for index in range(daemons):
        fleet.start_daemon(
            f"entry-{index + 1}",
            FAILURE_DOMAINS[index % len(FAILURE_DOMAINS)],
            **(daemon_settings or {}),
        )
    fleet.wait_until_up()
    try:
        fleet.publish_vms()
        store_settings(
            fleet, "entry-1", document or settings_document(fleet), "first settings"
        )
        fleet.wait_until_ready()
    except (RuntimeError, TimeoutError, httpx.HTTPError) as exc:
        cause = f"{type(exc).__name__}: {exc}"
        raise FleetStartError(f"{cause}\n{fleet.describe_processes()}") from exc
