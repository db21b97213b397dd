"""The HTTP applications of the data plane: one for clients, one for the readiness check and the metrics."""

from collections.abc import Callable
from contextlib import suppress

from quart import Quart, Response

from ..inbound.bounded_app import BodyPolicy, BoundedApp
from ..inbound.memory import MemoryBudget
from ..inbound.server import HttpServer, serve
from ..metrics import CONTENT_TYPE, Metric, exposition
from .endings import ResponseAborted
from .ingress import Ingress

__all__ = ["BoundedApp", "HttpServer", "IngressApp", "bounded_readiness_app", "readiness_app", "serve"]

READINESS_BODIES = BodyPolicy(max_body_bytes=4096)


class _ClientConnection:
    """Passes a request to the ingress without quart's own parsing, which would change it."""

    def __init__(self, app: "IngressApp", scope):
        self.app, self.scope = app, scope

    async def __call__(self, receive, send) -> None:
        with suppress(ResponseAborted):  # hypercorn closes a connection whose response is incomplete
            await self.app.ingress.serve(self.scope, receive, send)


class IngressApp(Quart):
    """The application that clients reach."""

    asgi_http_class = _ClientConnection

    def __init__(self, ingress: Ingress):
        super().__init__("molespur")
        self.ingress = ingress


def readiness_app(is_ready: Callable[[], bool], metrics: Callable[[], list[Metric]]) -> Quart:
    """Serves the platform's readiness check, and the metrics to Prometheus."""
    app = Quart("molespur")

    @app.get("/api/metrics")
    async def serve_metrics() -> Response:
        return Response(exposition(metrics()), content_type=CONTENT_TYPE)

    @app.get("/api/readyz")
    async def serve_readiness() -> Response:
        return Response("ready\n") if is_ready() else Response("not ready\n", 503)

    return app


def bounded_readiness_app(
    is_ready: Callable[[], bool], metrics: Callable[[], list[Metric]], memory: MemoryBudget
) -> BoundedApp:
    """The same, with the bodies of its requests within the memory budget."""
    return BoundedApp(readiness_app(is_ready, metrics), memory, lambda _path: READINESS_BODIES)
