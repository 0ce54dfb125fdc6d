"""The `balancer` command."""
