"""Run the daemon: ``python -m cowsliphitch.daemon``."""

from .cli import main

main()
