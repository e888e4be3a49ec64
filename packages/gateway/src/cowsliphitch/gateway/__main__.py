"""Run the daemon with the settings file that the environment names."""

import os

from .cli import run

run(os.environ["COWSLIPHITCH_CONFIG"], check=False)
