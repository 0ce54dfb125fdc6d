"""Deterministic simulations of whole fleets, disks and networks with seeded faults, in virtual time."""
