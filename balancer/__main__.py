"""Entry point of a node process: load the configuration, set up logging, return the exit code."""

from __future__ import annotations

import logging
import os
import sys

import uvloop

from balancer.errors import BalancerError
from balancer.net.config import load
from balancer.net.node_process import serve

EXIT_FAILED = 2


class ListenError(BalancerError):
    """The node cannot listen on its service address or on the address of its console."""

    code = "NOD01"
    remedy = (
        "find the process that listens there (ss -ltnp) and stop it, or change listen or PROXY_CONSOLE here"
    )


class FleetLibrariesError(BalancerError):
    """`PROXY_FLEET` is set, but the libraries for the fleet's services are not installed."""

    code = "NOD03"
    remedy = "install requirements-fleet.txt into the Python environment of the node, or unset PROXY_FLEET"


def main() -> int:
    """Run a node and return its exit code; a startup failure is reported in one line on standard error."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    error: BalancerError
    try:
        uvloop.run(serve(load(os.environ)))
        return 0
    except BalancerError as err:
        error = err
    except ModuleNotFoundError as err:
        error = FleetLibrariesError(
            f"PROXY_FLEET is set, but a library of requirements-fleet.txt is missing: {err}"
        )
    except OSError as err:
        error = ListenError(f"listen: {err}")
    print(f"balancer: {error.one_line_report}", file=sys.stderr)
    return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
