"""HTTP interface of the control plane: worker registrations and the operator's configuration."""

from collections.abc import Callable

from absl import logging
from quart import Quart, Response, request

from ..errors import ErrorKind, FleetError
from ..inbound.bounded_app import BodyPolicy, BoundedApp
from ..inbound.memory import MemoryBudget
from ..inbound.server import serve
from ..metrics import CONTENT_TYPE, Metric, exposition
from .calls import ControlCalls, worker_from_registration

__all__ = ["bounded_app", "create_app", "error_response", "serve"]

MAX_CONFIGURATION_BYTES = 8 << 20
CONFIGURATION_PATH = "/api/config"
JSON = "application/json"


def error_response(error: FleetError) -> Response:
    """The response for an error: its status and a single line of text."""
    return Response(f"{error.detail or error.kind.value}\n", error.response.status, content_type="text/plain")


def create_app(calls: ControlCalls, metrics: Callable[[], list[Metric]]) -> Quart:
    """The HTTP application of a control-plane process."""
    app = Quart("molespur")
    app.config["MAX_CONTENT_LENGTH"] = MAX_CONFIGURATION_BYTES

    @app.errorhandler(FleetError)
    async def handle_error(error: FleetError) -> Response:
        return error_response(error)

    @app.put("/api/instances/<worker_id>")
    async def heartbeat(worker_id: str) -> Response:
        worker = worker_from_registration(worker_id, await request.get_data())
        owner = await calls.heartbeat(worker)
        return Response(f'{{"HeartbeatEndpoint":"{owner}"}}', content_type=JSON)

    @app.delete("/api/instances/<worker_id>")
    async def remove(worker_id: str) -> Response:
        await calls.remove(worker_id)
        return Response("{}", content_type=JSON)

    @app.put(CONFIGURATION_PATH)
    async def put_configuration() -> Response:
        owner = await calls.configuration_owner()
        if owner is not None:
            return Response("", 307, {"Location": f"http://{owner}/api/config"})
        try:
            base_version = int(request.headers.get("If-Match", "").strip().strip('"') or 0)
        except ValueError as error:
            raise FleetError(ErrorKind.UNREADABLE, "If-Match is not a version") from error
        body = await request.get_data()
        try:
            await calls.put_configuration(body, base_version)
        except FleetError as error:
            logging.info("configuration change based on version %d refused: %s", base_version, error)
            raise
        return Response("{}", content_type=JSON)

    @app.get("/api/config")
    async def get_configuration() -> Response:
        owner = await calls.configuration_owner()
        if owner is not None:
            return Response("", 307, {"Location": f"http://{owner}/api/config"})
        body = await calls.configuration()
        return Response("", 404) if body is None else Response(body, content_type=JSON)

    @app.get("/api/readyz")
    async def ready() -> Response:
        return Response("ok\n")

    @app.get("/api/metrics")
    async def get_metrics() -> Response:
        return Response(exposition(metrics()), content_type=CONTENT_TYPE)

    return app


CONFIGURATION_BODIES = BodyPolicy(max_body_bytes=MAX_CONFIGURATION_BYTES)
OTHER_BODIES = BodyPolicy()


def bounded_app(calls: ControlCalls, metrics: Callable[[], list[Metric]], memory: MemoryBudget) -> BoundedApp:
    """The application with the bodies of its requests within the memory budget."""
    return BoundedApp(create_app(calls, metrics), memory, _body_policy)


def _body_policy(path: str) -> BodyPolicy:
    return CONFIGURATION_BODIES if path == CONFIGURATION_PATH else OTHER_BODIES
