"""Run the ``cowsliphitch`` command as ``python -m cowsliphitch.operators``."""

from .cli import main

main()
