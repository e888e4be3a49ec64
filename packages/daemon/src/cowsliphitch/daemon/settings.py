"""Settings of one daemon process, read from a YAML file."""

import enum
from typing import Final

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.settings.schema import Problem, load_document
from cowsliphitch.core.settings.units import Duration, Name

DEFAULT_DRAIN_DELAY: Final = Duration(1_000)
DEFAULT_DRAIN_LIMIT: Final = Duration(60_000)


class LogFormat(enum.Enum):
    """How log lines are written."""

    TEXT = "text"
    JSON = "json"


@attrs.frozen
class PlatformSettings:
    """Base URLs of the platform's services."""

    kv: str
    vm_list: str


@attrs.frozen
class TlsSettings:
    """Paths of the daemon's certificate, its key and the fleet's authority, PEM."""

    certificate: str
    key: str
    authority: str


@attrs.frozen
class DaemonSettings:
    """Everything that a daemon can't learn from the fleet's configuration.

    :param callers: host and port for callers
    :param operators: host and port for operators and scrapers
    :param peers: host and port for the other daemons
    :param peers_advertised: host and port that the other daemons use, if another
    :param seeds: peers to ask while no member is known
    :param operator_tokens: salted digest of the token by operator
    :param drain_delay: time between unready and the refusal of new requests
    :param drain_limit: longest wait for requests in flight
    """

    name: Name
    failure_domain: Name
    callers: str
    operators: str
    peers: str
    platform: PlatformSettings
    peers_advertised: str | None = None
    seeds: tuple[str, ...] = ()
    operator_tokens: dict[Name, str] = attrs.Factory(dict)
    tls: TlsSettings | None = None
    drain_delay: Duration = DEFAULT_DRAIN_DELAY
    drain_limit: Duration = DEFAULT_DRAIN_LIMIT
    log_format: LogFormat = LogFormat.TEXT


def load_daemon_settings(path: str) -> Result[DaemonSettings, tuple[Problem, ...]]:
    """Read and check a daemon's settings file."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        return Err((Problem(path, 1, f"expected a readable file: {exc}"),))
    return load_document(text, DaemonSettings).and_then(_check_addresses)


def _check_addresses(
    settings: DaemonSettings,
) -> Result[DaemonSettings, tuple[Problem, ...]]:
    """Check that listeners and seeds are written as host and port."""
    addresses = {
        "callers": settings.callers,
        "operators": settings.operators,
        "peers": settings.peers,
    } | {f"seeds.{index}": seed for index, seed in enumerate(settings.seeds)}
    bad = tuple(
        Problem(path, 1, "expected host:port")
        for path, address in addresses.items()
        if not address.rpartition(":")[2].isdecimal() or not address.rpartition(":")[0]
    )
    return Err(bad) if bad else Ok(settings)
