"""The `dillport` command."""
