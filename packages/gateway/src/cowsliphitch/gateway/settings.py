"""Settings of a daemon that serves callers on the platform, from a YAML file."""

import attrs
from result import Err, Ok, Result

from cowsliphitch.core.engines import const as engines
from cowsliphitch.core.settings.schema import Problem, load_document
from cowsliphitch.core.settings.units import Duration, Ratio


@attrs.frozen
class ListenSettings:
    """Addresses of this daemon, as host and port.

    :param callers: where callers connect
    :param ready: where the balancer asks whether this daemon takes callers
    :param peers: where the other daemons connect, TCP and UDP
    :param metrics: where metrics are read
    """

    callers: str
    ready: str
    peers: str
    metrics: str


@attrs.frozen
class StoreSettings:
    """The platform's key-value store."""

    address: str


@attrs.frozen
class VmSettings:
    """What the VM gives this process.

    :param max_descriptors: of files and sockets
    """

    max_descriptors: int = 4_096


@attrs.frozen
class RetrySettings:
    """The fleet's allowance of repeats for one service.

    :param ratio: repeats for each request
    :param fixed: repeats besides, over all daemons
    :param window: length of the sliding window
    """

    ratio: Ratio = Ratio(0.2)
    fixed: int = 10
    window: Duration = Duration(10_000)


@attrs.frozen
class ShutdownSettings:
    """How long a process has between SIGTERM and SIGKILL."""

    grace: Duration = Duration(8_000)


@attrs.frozen
class CostSettings:
    """What a choice costs besides time, in shares of a request's credit.

    :param read_again: reading 1,000 prompt tokens that some engine has in its cache
    :param result_moved: a MB of stage results that crosses failure domains
    """

    read_again: Ratio = Ratio(engines.RECOMPUTE_COST_PER_1K_TOKENS)
    result_moved: Ratio = Ratio(engines.TRANSFER_COST_PER_MB)


@attrs.frozen
class GatewaySettings:
    """Everything that a daemon can't learn from the store."""

    name: str
    failure_domain: str
    listen: ListenSettings
    store: StoreSettings
    vm: VmSettings = attrs.Factory(VmSettings)
    retries: RetrySettings = attrs.Factory(RetrySettings)
    costs: CostSettings = attrs.Factory(CostSettings)
    shutdown: ShutdownSettings = attrs.Factory(ShutdownSettings)


def load_gateway_settings(path: str) -> Result[GatewaySettings, tuple[Problem, ...]]:
    """Read and check a daemon's settings file."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as exc:
        return Err((Problem(path, 1, f"expected a readable file: {exc}"),))
    return load_document(text, GatewaySettings).and_then(_check_addresses)


def _check_addresses(
    cfg: GatewaySettings,
) -> Result[GatewaySettings, tuple[Problem, ...]]:
    addresses = {
        f"listen.{name}": address for name, address in attrs.asdict(cfg.listen).items()
    } | {"store.address": cfg.store.address}
    bad = tuple(
        Problem(path, 1, "expected host:port")
        for path, address in addresses.items()
        if not address.rpartition(":")[0] or not address.rpartition(":")[2].isdecimal()
    )
    return Err(bad) if bad else Ok(cfg)
