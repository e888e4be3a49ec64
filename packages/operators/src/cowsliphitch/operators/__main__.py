"""Run the operators command: ``python -m cowsliphitch.operators``."""

from .cli import main

main()
