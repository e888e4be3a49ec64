"""Make the figures: ``script/measure [PART ...]``; without a part, all of them."""

import argparse
from collections.abc import Callable

from .overhead import measure_overhead, measure_throughput
from .report import Report, render, write

PARTS: dict[str, Callable[[], Report]] = {
    "overhead": measure_overhead,
    "throughput": measure_throughput,
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
