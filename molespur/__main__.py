"""The one binary: a scheduler in service without arguments, else a command."""

import gc
import os
import signal
import sys

FLEET_COMMANDS = ("data-plane", "control-plane", "check-settings", "check-configuration")


def main() -> int:
    """Run what the arguments say, and import no more than that needs."""
    if len(sys.argv) > 1 and sys.argv[1] in FLEET_COMMANDS:
        signal.signal(signal.SIGHUP, signal.SIG_IGN)  # the settings are still to be read
        gc.disable()  # until the role runs: imports make nothing that has to be collected
        if sys.argv[1] == "data-plane":
            from .system.early_listener import open_early

            open_early(os.environ.get("MOLESPUR_SETTINGS", ""), "Frontend")
        from .system.cli import main as fleet

        return fleet(sys.argv[1:])
    if len(sys.argv) > 1 and sys.argv[1] == "system":
        from .system.client.cli import main as client

        return client(sys.argv[2:])
    if len(sys.argv) > 1:
        from .cli import main as command_line

        command_line()
    from .program import main as serve

    return serve()


if __name__ == "__main__":
    sys.exit(main())
