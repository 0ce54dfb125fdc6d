"""The same examples in every run: a verdict must not hang on the day's draw.

With BALANCER_HUNT=1 (`tests/hunt.sh`) property tests draw fresh examples, and HUNT_FACTOR times as many.
"""

import os

import pytest
from hypothesis import settings

pytest_plugins = ["pytester", "tests.known_red"]

HUNT_FACTOR = 20
IS_HUNT = os.environ.get("BALANCER_HUNT") == "1"
HYPOTHESIS_SETTINGS = "_hypothesis_internal_use_settings"  # where Hypothesis keeps those of a test

settings.register_profile("fixed", derandomize=True, database=None, deadline=None)
settings.load_profile("fixed")


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """On a hunt, play the property tests alone, with fresh draws."""
    if not IS_HUNT:
        return
    hunted = []
    for item in items:
        function = getattr(item, "obj", None)
        if not getattr(function, "is_hypothesis_test", False):
            continue
        own: settings = getattr(function, HYPOTHESIS_SETTINGS, None) or settings.get_profile("fixed")
        fresh = settings(
            parent=own,
            max_examples=HUNT_FACTOR * own.max_examples,
            derandomize=False,
            print_blob=True,
        )
        setattr(function, HYPOTHESIS_SETTINGS, fresh)
        item.add_marker(pytest.mark.timeout(HUNT_FACTOR * 180))
        hunted.append(item)
    items[:] = hunted
