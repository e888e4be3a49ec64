"""Settings of one daemon process, read from a YAML file."""

import enum
from typing import Final

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.settings.schema import Problem, load_document
from cowsliphitch.core.settings.units import Duration, Name, PositiveAmount

DEFAULT_DRAIN_DELAY_MS: Final = Duration(1_000)
DEFAULT_DRAIN_LIMIT_MS: Final = Duration(60_000)


class LogFormat(enum.Enum):
    """Format of log lines."""

    TEXT = "text"
    JSON = "json"


@attrs.frozen
class PlatformSettings:
    """Base URLs of the platform's services."""

    kv: str
    vm_list: str


@attrs.frozen
class TlsSettings:
    """Paths of PEM files: certificate, private key and the fleet's CA certificate."""

    certificate: str
    key: str
    authority: str


@attrs.frozen
class VmSettings:
    """Limits of the VM on this process.

    :param max_descriptors: limit on open files and sockets
    :param memory_mb: memory of the process, in MB
    """

    max_descriptors: PositiveAmount = PositiveAmount(4_096)
    memory_mb: PositiveAmount = PositiveAmount(1_024)


@attrs.frozen
class DaemonSettings:
    """Settings of one daemon, which the fleet's configuration does not contain.

    :param callers: host and port on which callers are served
    :param operators: host and port on which operators and scrapers are served
    :param peers: host and port on which other daemons are served
    :param peers_advertised: host and port that other daemons connect to, if different
    :param seeds: addresses of peers to contact while no member is known
    :param operator_tokens: salted digest of each operator's token, by operator name
    :param drain_delay: time from reporting not ready until new requests are refused
    :param drain_limit: maximum wait for requests in flight on shutdown
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
    drain_delay: Duration = DEFAULT_DRAIN_DELAY_MS
    drain_limit: Duration = DEFAULT_DRAIN_LIMIT_MS
    log_format: LogFormat = LogFormat.TEXT
    vm: VmSettings = attrs.Factory(VmSettings)


def load_daemon_settings(path: str) -> Result[DaemonSettings, tuple[Problem, ...]]:
    """Load and validate a daemon's settings file."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        return Err((Problem(path, 1, f"expected a readable file: {exc}"),))
    return load_document(text, DaemonSettings).and_then(_check_addresses)


def _check_addresses(
    settings: DaemonSettings,
) -> Result[DaemonSettings, tuple[Problem, ...]]:
    """Check that listen addresses and seeds have the form ``host:port``."""
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
