"""Soak: experiments drawn from a seed, played with real processes and judged; what breaks is a finding."""
