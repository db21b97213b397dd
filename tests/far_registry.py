"""Runs a stand-in registry in its own thread, for clients that block."""

import contextlib
import threading

import trio

from molespur.standins.registry import Registry


@contextlib.contextmanager
def registry_thread(**options):
    """Run a stand-in registry in its own thread; yields its address."""
    ready, addresses, control = threading.Event(), [], {}

    async def main():
        control["scope"], control["token"] = trio.CancelScope(), trio.lowlevel.current_trio_token()
        with control["scope"]:
            async with trio.open_nursery() as nursery:
                addresses.extend(await nursery.start(Registry(**options).listen))
                ready.set()
                await trio.sleep_forever()

    thread = threading.Thread(target=trio.run, args=(main,))
    thread.start()
    try:
        assert ready.wait(20)
        yield "{}:{}".format(*addresses[0])
    finally:
        control["token"].run_sync_soon(control["scope"].cancel)
        thread.join(20)
