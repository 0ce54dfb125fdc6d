"""Membership of a tier: SWIM with Lifeguard's extensions, over datagrams between nodes."""
