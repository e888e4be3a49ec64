"""Run the daemon with the settings file named in ``COWSLIPHITCH_CONFIG``."""

import os
import signal

from .signals import StopSignals


def main() -> None:
    """Install the handlers of signals, then import and run the daemon."""
    signals = StopSignals([signal.SIGTERM], ignored=[signal.SIGHUP])
    from .cli import run

    run(os.environ["COWSLIPHITCH_CONFIG"], check=False, signals=signals)


if __name__ == "__main__":
    main()
