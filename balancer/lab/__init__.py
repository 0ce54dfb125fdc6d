"""The fleet lab: real nodes, stubs for all they meet, faults between them, and a judge."""
