"""Worker records for tests."""

from molespur.system.rpc import molespur_pb2 as pb


def worker(name="i-1", address="10.9.0.1:80", state=pb.READY, sequence=1, **more):
    return pb.Worker(
        id=name, service="s", address=address, state=state, sequence=sequence, capacity=64, **more
    )


def put(directory, *workers):
    return directory.apply(pb.WorkerCommand(workers=workers).SerializeToString())[1]
