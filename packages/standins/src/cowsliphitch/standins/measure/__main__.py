"""Make the figures: ``script/measure [PART ...]``; without a part, all of them."""

import argparse
from collections.abc import Callable

from .control import measure_membership, measure_orders, measure_propagation
from .overhead import measure_overhead, measure_throughput
from .policy import measure_deadlines, measure_fairness, measure_routing
from .report import Report, render, write
from .slopes import measure_slopes

PARTS: dict[str, Callable[[], Report]] = {
    "overhead": measure_overhead,
    "throughput": measure_throughput,
    "membership": measure_membership,
    "propagation": measure_propagation,
    "orders": measure_orders,
    "slopes": measure_slopes,
    "fairness": measure_fairness,
    "deadlines": measure_deadlines,
    "routing": measure_routing,
}


def main() -> None:
    """Run the parts, print each one's figures and keep them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("parts", nargs="*", metavar="PART", help=", ".join(PARTS))
    parser.add_argument("--dry", action="store_true", help="keep nothing")
    args = parser.parse_args()
    for name in args.parts or PARTS:
        report = PARTS[name]()
        print(render(report), flush=True)
        if not args.dry:
            write(report)


if __name__ == "__main__":
    main()
