"""Experiments: the tables of an experiment file, their checks, and what is derived from them."""
