"""Recover a tier after a power loss: check saved state, survey peers, return to service in phases."""
