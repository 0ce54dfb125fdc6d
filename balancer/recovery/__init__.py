"""Recovery of a whole tier after a power loss: trust in saved state, peer survey, return to service."""
