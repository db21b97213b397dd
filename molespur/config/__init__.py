"""All configuration: the platform's LB_* variables and file here, other installations' in `deployment`.

`deployment` is imported only where it is asked for: the platform's `run` line needs none of it.
"""

from .platform import (
    ClusterList,
    Config,
    ConfigError,
    Target,
    after_reload,
    load,
    needs_restart,
    parse_address,
    read_settings,
    report_from,
    target_of,
    worker_entry,
)

__all__ = [
    "ClusterList",
    "Config",
    "ConfigError",
    "Target",
    "after_reload",
    "load",
    "needs_restart",
    "parse_address",
    "read_settings",
    "report_from",
    "target_of",
    "worker_entry",
]
