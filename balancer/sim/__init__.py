"""Whole fleets under a virtual clock: the cores of all rooms in a seeded, faulty world."""
