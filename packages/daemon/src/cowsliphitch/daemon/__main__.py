"""Run the daemon: ``python -m cowsliphitch.daemon`` or ``cowsliphitchd``."""

import signal

from cowsliphitch.gateway.signals import StopSignals


def main() -> None:
    """Install the handlers of signals, then import and run the daemon."""
    signals = StopSignals([signal.SIGTERM, signal.SIGINT])
    from . import cli

    cli.main(signals)


if __name__ == "__main__":
    main()
