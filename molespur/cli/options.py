"""The settings of the deployment as flags of a command."""

from collections.abc import Callable

import click

from ..config import deployment


def with_settings(*parts: str) -> Callable:
    """Give a command the flags of these parts; its `settings` are the (Deployment, origins) read."""

    def decorate(function):
        chosen = [key for key in deployment.all_keys() if key.part in parts]

        def call(deployment_file, **given):
            flags = {key.name: given.pop(key.name.replace(".", "_")) for key in chosen}
            return function(settings=deployment.read(deployment_file, flags=flags), **given)

        call.__name__, call.__doc__ = function.__name__, function.__doc__
        call.__click_params__ = getattr(function, "__click_params__", [])
        for key in reversed(chosen):
            shown = ",".join(key.default) if isinstance(key.default, list) else key.default
            text = f"{key.about} [{key.variable}; default: {shown!r}]"
            call = click.option(key.flag, key.name.replace(".", "_"), metavar="VALUE", help=text)(call)
        about = f"TOML file of settings [{deployment.FILE_VARIABLE}]"
        return click.option("--deployment", "deployment_file", metavar="FILE", help=about)(call)

    return decorate
