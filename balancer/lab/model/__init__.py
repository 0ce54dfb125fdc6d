"""Pure models of what stands round the nodes: told the time, no I/O, deterministic for a seed."""
