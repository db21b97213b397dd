"""A stand-in registry on a thread of its own, for clients that block."""

import contextlib
import threading

import trio

from molespur.standins.registry import Registry


@contextlib.contextmanager
def a_registry(**options):
    """A stand-in on a thread of its own; gives its address."""
    up, places, control = threading.Event(), [], {}

    async def main():
        control["scope"], control["token"] = trio.CancelScope(), trio.lowlevel.current_trio_token()
        with control["scope"]:
            async with trio.open_nursery() as nursery:
                places.extend(await nursery.start(Registry(**options).listen))
                up.set()
                await trio.sleep_forever()

    thread = threading.Thread(target=trio.run, args=(main,))
    thread.start()
    try:
        assert up.wait(20)
        yield "{}:{}".format(*places[0])
    finally:
        control["token"].run_sync_soon(control["scope"].cancel)
        thread.join(20)
