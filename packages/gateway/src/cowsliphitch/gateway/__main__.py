"""Run the daemon with the settings file named in ``COWSLIPHITCH_CONFIG``."""

import os

from .cli import run

run(os.environ["COWSLIPHITCH_CONFIG"], check=False)
