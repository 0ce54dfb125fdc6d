"""`python -m dillport.cli`."""

from dillport.cli.app import main

main()
