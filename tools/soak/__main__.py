"""Run the soak: ``python -m tools.soak --seeds 1 2 3`` or ``--fresh 5``."""

from __future__ import annotations

from agaterail.util import greenlets

greenlets.patch()

import argparse
import pathlib
import secrets
import sys
import tempfile

from tools.soak.run import SoakOptions, soak


def main() -> None:
    """Run each seed; exit 1 if a run violated a guarantee."""
    parser = argparse.ArgumentParser(prog="soak")
    parser.add_argument("--seeds", type=int, nargs="*", default=[])
    parser.add_argument(
        "--fresh", type=int, default=0, help="number of additional random seeds"
    )
    parser.add_argument("--seconds", type=float, default=15.0)
    parser.add_argument("--gateways", type=int, default=4)
    parser.add_argument("--callers", type=int, default=16)
    parser.add_argument(
        "--deal",
        action="store_true",
        help="inject every kind of fault once before any repeats",
    )
    parser.add_argument(
        "--cuts", action="store_true", help="cut gateways off from all targets"
    )
    parser.add_argument(
        "--builds", action="store_true", help="engines of several builds are replaced"
    )
    parser.add_argument(
        "--outages",
        action="store_true",
        help="the store is silent for long, and registrations lapse and come back",
    )
    parser.add_argument(
        "--strain", action="store_true", help="most targets of a service fail together"
    )
    parser.add_argument(
        "--crashes", action="store_true", help="some prompts end the engines that answer them"
    )
    parser.add_argument(
        "--repeats",
        action="store_true",
        help="a caller repeats a request that ends its targets",
    )
    parser.add_argument(
        "--foreign",
        action="store_true",
        help="another writer adds records that nobody can decode",
    )
    parser.add_argument(
        "--isolation",
        action="store_true",
        help="workspaces become isolated, share again, are removed and added",
    )
    arguments = parser.parse_args()
    seeds = [*arguments.seeds, *(secrets.randbelow(10**6) for _ in range(arguments.fresh))]
    options = SoakOptions(
        seconds=arguments.seconds,
        gateways=arguments.gateways,
        callers=arguments.callers,
        in_rounds=arguments.deal,
        with_cuts=arguments.cuts,
        with_builds=arguments.builds,
        with_outages=arguments.outages,
        with_strain=arguments.strain,
        with_crashes=arguments.crashes,
        with_repeats=arguments.repeats,
        with_foreign=arguments.foreign,
        with_isolation=arguments.isolation,
    )
    failed = 0
    for seed in seeds:
        folder = pathlib.Path(tempfile.mkdtemp(prefix=f"soak-{seed}-"))
        result = soak(seed, folder, options)
        print(result.summary, flush=True)
        for problem in result.problems:
            print(f"    {problem}")
        if result.problems:
            failed += 1
            print(f"    logs: {folder}", flush=True)
    print(f"{len(seeds) - failed} seeds held, {failed} failed")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
