"""Entry point of a node: configuration, log, exit code."""

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
    """An address that the node is to serve on, or its console, cannot be had."""

    code = "NOD01"
    remedy = "see who listens there (ss -ltnp): give that one, or this, another listen or PROXY_CONSOLE"


class FleetLibrariesError(BalancerError):
    """The fleet file asks for parts whose libraries are not installed."""

    code = "NOD03"
    remedy = "install requirements-fleet.txt where run has its libraries, or unset PROXY_FLEET"


def main() -> int:
    """Run a node and return its exit code; one that cannot run says why in one line on standard error."""
    logging.basicConfig(stream=sys.stderr, level=logging.INFO, format="%(asctime)s %(levelname)s %(message)s")
    error: BalancerError
    try:
        uvloop.run(serve(load(os.environ)))
        return 0
    except BalancerError as err:
        error = err
    except ModuleNotFoundError as err:
        error = FleetLibrariesError(f"PROXY_FLEET needs requirements-fleet.txt: {err}")
    except OSError as err:
        error = ListenError(f"listen: {err}")
    print(f"balancer: {error.one_line_report}", file=sys.stderr)
    return EXIT_FAILED


if __name__ == "__main__":
    sys.exit(main())
