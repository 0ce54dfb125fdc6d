"""Pytest configuration: property tests use the same examples in every run, so that results are reproducible.

With BALANCER_HUNT=1 (`tests/hunt.sh`) only property tests run. They draw fresh examples, and
`FRESH_EXAMPLES_FACTOR` times as many.
"""

import gc
import os

import pytest
from hypothesis import settings

pytest_plugins = ["pytester", "tests.known_red"]

FRESH_EXAMPLES_FACTOR = 20
DRAWS_FRESH_EXAMPLES = os.environ.get("BALANCER_HUNT") == "1"
# Name of the function attribute in which Hypothesis stores the settings of a test.
SETTINGS_ATTRIBUTE = "_hypothesis_internal_use_settings"

settings.register_profile("fixed", derandomize=True, database=None, deadline=None)
settings.load_profile("fixed")

# Tests in which Python source is parsed. Python 3.11 does not bear a parse within a parse, which follows from
# a finalizer that raises while the collector runs, as pytest formats that exception.
PARSING_TESTS = ("test_architecture", "test_known_red")


def pytest_runtest_setup(item: pytest.Item) -> None:
    """Run the finalizers of earlier tests before a test that parses source."""
    if item.path.stem in PARSING_TESTS:
        gc.collect()


def pytest_collection_modifyitems(items: list[pytest.Item]) -> None:
    """If BALANCER_HUNT is set, select only property tests and let them draw fresh examples."""
    if not DRAWS_FRESH_EXAMPLES:
        return
    selected = []
    for item in items:
        function = getattr(item, "obj", None)
        if not getattr(function, "is_hypothesis_test", False):
            continue
        configured: settings = getattr(function, SETTINGS_ATTRIBUTE, None) or settings.get_profile("fixed")
        fresh = settings(
            parent=configured,
            max_examples=FRESH_EXAMPLES_FACTOR * configured.max_examples,
            derandomize=False,
            print_blob=True,
        )
        setattr(function, SETTINGS_ATTRIBUTE, fresh)
        item.add_marker(pytest.mark.timeout(FRESH_EXAMPLES_FACTOR * 180))
        selected.append(item)
    items[:] = selected
