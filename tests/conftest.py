from known_red import pytest_collection_modifyitems

__all__ = ["pytest_collection_modifyitems"]
pytest_plugins = ["pytester"]
