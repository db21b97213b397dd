"""The entry point: without arguments it runs a scheduler, else the given command."""

import gc
import os
import signal
import sys

ROLE_COMMANDS = ("data-plane", "control-plane", "check-settings", "check-configuration")


def main() -> int:
    """Run the command of the arguments, and import only what it needs."""
    if len(sys.argv) > 1 and sys.argv[1] in ROLE_COMMANDS:
        signal.signal(
            signal.SIGHUP, signal.SIG_IGN
        )  # until the role handles it: the settings are not read yet
        gc.disable()  # until the role runs: imports leave no garbage to collect
        if sys.argv[1] == "data-plane":
            from .system.early_listener import open_early

            open_early(os.environ.get("MOLESPUR_SETTINGS", ""), "Frontend")
        from .system.cli import main as run_role

        return run_role(sys.argv[1:])
    if len(sys.argv) > 1 and sys.argv[1] == "system":
        from .system.client.cli import main as run_client

        return run_client(sys.argv[2:])
    if len(sys.argv) > 1:
        from .cli import main as run_command

        run_command()
    from .program import main as run_scheduler

    return run_scheduler()


if __name__ == "__main__":
    sys.exit(main())
