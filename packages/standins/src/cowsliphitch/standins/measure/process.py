"""CPU time and memory of a process, read from ``/proc``."""

import os
from pathlib import Path
from typing import Final

TICKS_PER_SECOND: Final = os.sysconf("SC_CLK_TCK")
MS_PER_SECOND: Final = 1_000
KB_PER_MB: Final = 1_024
# Indexes in /proc/PID/stat of the fields behind the command name.
_UTIME: Final = 11
_STIME: Final = 12


def cpu_ms(pid: int) -> float:
    """Return the CPU time of a process since its start, user and system, in ms."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    ticks = int(fields[_UTIME]) + int(fields[_STIME])
    return ticks * MS_PER_SECOND / TICKS_PER_SECOND


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MB."""
    lines = Path(f"/proc/{pid}/status").read_text().splitlines()
    resident = next(line for line in lines if line.startswith("VmRSS:"))
    return int(resident.split()[1]) / KB_PER_MB
