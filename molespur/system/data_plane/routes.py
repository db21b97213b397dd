"""Finds the route of a request: by its host, then by the longest prefix of its path."""

from ..settings.configuration import Configuration, Route


class RouteTable:
    """The routes of one configuration."""

    def __init__(self, configuration: Configuration):
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in configuration.routes:
            self._hosts.setdefault(route.host.lower(), {})[route.path_prefix] = route

    def find(self, host: str, path: str) -> Route | None:
        """The route of a host (any port is ignored) and a path, or None."""
        prefixes = self._hosts.get(host.lower().partition(":")[0])
        if prefixes is None:
            return None
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind("/", 0, end)
        return None
