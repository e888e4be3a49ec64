"""Settings of a daemon on the platform, loaded from a YAML file."""

import functools
from typing import Final

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.engines import const as engines
from cowsliphitch.core.json_values import MAX_PORT
from cowsliphitch.core.settings.schema import Problem, line_of, load_document
from cowsliphitch.core.settings.units import (
    Amount,
    Duration,
    PositiveAmount,
    Ratio,
)

# A shorter window would forget each retry at once, so that none was denied.
MIN_RETRY_WINDOW_MS: Final = 1


@attrs.frozen
class ListenSettings:
    """Listen addresses of this daemon, as ``host:port``.

    :param callers: requests of callers
    :param ready: readiness checks of the load balancer
    :param peers: connections and heartbeats of other daemons, TCP and UDP
    :param metrics: scrapes of metrics and of the daemon's state
    """

    callers: str
    ready: str
    peers: str
    metrics: str


@attrs.frozen
class StoreSettings:
    """Connection to the platform's key-value store.

    :param address: ``host:port``
    """

    address: str


@attrs.frozen
class VmSettings:
    """Limits of the VM on this process.

    :param max_descriptors: limit on open files and sockets
    :param cores: speed of a processor core, relative to the platform's unit
    :param cpu_share: share of a core
    :param memory_mb: memory of the process, in MB
    """

    max_descriptors: PositiveAmount = PositiveAmount(4_096)
    cores: PositiveAmount = PositiveAmount(1.0)
    cpu_share: PositiveAmount = PositiveAmount(1.0)
    memory_mb: PositiveAmount = PositiveAmount(256)

    @property
    def capacity(self) -> float:
        """Return the processor time that the process gets in each unit of time."""
        return self.cores * self.cpu_share


@attrs.frozen
class RetrySettings:
    """Retries that all daemons together may send to one service within a window.

    :param ratio: retries for each request in the window
    :param fixed: additional retries in the window, over all daemons; a fraction is
        what a share of a larger deployment has
    :param window: length of the sliding window, 1 ms or longer
    """

    ratio: Amount = Amount(0.2)
    fixed: Amount = Amount(10)
    window: Duration = Duration(10_000)


@attrs.frozen
class ShutdownSettings:
    """Graceful shutdown.

    :param grace: time between SIGTERM and SIGKILL
    """

    grace: Duration = Duration(8_000)


@attrs.frozen
class CostSettings:
    """Costs of an engine choice besides latency, as fractions of a request's credit.

    :param read_again: per 1,000 prompt tokens that are recomputed although another
        engine has them in its cache
    :param result_moved: per MB of stage results that crosses failure domains
    """

    read_again: Ratio = Ratio(engines.RECOMPUTE_COST_PER_1K_TOKENS)
    result_moved: Ratio = Ratio(engines.TRANSFER_COST_PER_MB)


@attrs.frozen
class GatewaySettings:
    """Local settings of a daemon; all others come from the key-value store.

    :param name: identifies the daemon
    :param failure_domain: failure domain of the daemon's VM
    :param costs: weights of the criteria for choosing an engine
    """

    name: str
    failure_domain: str
    listen: ListenSettings
    store: StoreSettings
    vm: VmSettings = attrs.Factory(VmSettings)
    retries: RetrySettings = attrs.Factory(RetrySettings)
    costs: CostSettings = attrs.Factory(CostSettings)
    shutdown: ShutdownSettings = attrs.Factory(ShutdownSettings)


def load_gateway_settings(path: str) -> Result[GatewaySettings, tuple[Problem, ...]]:
    """Load and validate a daemon's settings file.

    A key without a value gets its default.

    :returns: the settings, or all problems that were found
    """
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        return Err((Problem(path, 1, f"expected a readable file: {exc}"),))
    return load_document(text, GatewaySettings, null_is_absent=True).and_then(
        functools.partial(_check_values, text)
    )


def _check_values(
    text: str, cfg: GatewaySettings
) -> Result[GatewaySettings, tuple[Problem, ...]]:
    """Check what the types of the settings do not express.

    :param text: the document, to name the lines of problems
    """
    addresses = {
        ("listen", name): address for name, address in attrs.asdict(cfg.listen).items()
    } | {("store", "address"): cfg.store.address}
    faults = [
        (path, f"expected host:port with a port up to {MAX_PORT}, not {address!r}")
        for path, address in addresses.items()
        if not _is_address(address)
    ]
    if cfg.retries.window < MIN_RETRY_WINDOW_MS:
        detail = f"expected a duration from {MIN_RETRY_WINDOW_MS}ms"
        faults.append((("retries", "window"), f"{detail}, not {cfg.retries.window}ms"))
    problems = tuple(
        Problem(".".join(path), line_of(text, path), expected)
        for path, expected in faults
    )
    return Err(problems) if problems else Ok(cfg)


def _is_address(value: str) -> bool:
    host, _, port = value.rpartition(":")
    return (
        bool(host)
        and port.isascii()
        and port.isdecimal()
        and len(port) <= len(str(MAX_PORT))
        and 0 < int(port) <= MAX_PORT
    )
