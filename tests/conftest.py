"""Settings of all tests: property tests draw the same examples in every run, unless told to explore.

`pytest --hypothesis-profile explore` draws fresh ones; what it finds becomes a fixed example of a test.
"""

from hypothesis import settings
from known_red import pytest_collection_modifyitems

__all__ = ["pytest_collection_modifyitems"]
pytest_plugins = ["pytester"]

settings.register_profile("repeatable", derandomize=True, database=None, deadline=None)
settings.register_profile("explore", derandomize=False, database=None, deadline=None, print_blob=True)
settings.load_profile("repeatable")
