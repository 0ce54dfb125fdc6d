"""A whole tier's return from a power loss: what is trusted, what is asked, in which order service comes."""
