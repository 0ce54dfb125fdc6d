"""Tier membership: the SWIM protocol with Lifeguard's extensions, run over UDP between nodes."""
