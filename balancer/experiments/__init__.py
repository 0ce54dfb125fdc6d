"""Experiment files: their tables, validation, selectors and the settings derived from them."""
