"""Run measurements: ``script/measure [PART ...]``; without a part, all of them."""

import argparse
from collections.abc import Callable

from .control import measure_membership, measure_orders, measure_propagation
from .idle import measure_idle
from .overhead import measure_overhead, measure_throughput
from .policy import measure_deadlines, measure_fairness, measure_routing
from .report import Report, render_report, write_report
from .slopes import measure_slopes

MEASUREMENTS: dict[str, Callable[[], Report]] = {
    "overhead": measure_overhead,
    "throughput": measure_throughput,
    "membership": measure_membership,
    "propagation": measure_propagation,
    "orders": measure_orders,
    "slopes": measure_slopes,
    "idle": measure_idle,
    "fairness": measure_fairness,
    "deadlines": measure_deadlines,
    "routing": measure_routing,
}


def main() -> None:
    """Run the chosen measurements, and print and store the report of each."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument(
        "parts", nargs="*", metavar="PART", help=", ".join(MEASUREMENTS)
    )
    parser.add_argument("--dry", action="store_true", help="keep nothing")
    args = parser.parse_args()
    for name in args.parts or MEASUREMENTS:
        report = MEASUREMENTS[name]()
        print(render_report(report), flush=True)
        if not args.dry:
            write_report(report)


if __name__ == "__main__":
    main()
