"""Entry point of `python -m balancer.cli`."""

from balancer.cli.app import main

main()
