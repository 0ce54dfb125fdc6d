"""Soak tests: experiments drawn from seeds run with real processes, and violations become findings."""
