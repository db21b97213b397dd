"""HTTP of the data plane: the application that clients reach, and the answer to the readiness check."""

from collections.abc import Callable
from contextlib import suppress

from quart import Quart, Response

from ..metrics import CONTENT_TYPE, Metric, exposition
from ..serving import serve
from .client_server import ClientServer
from .endings import AnswerCut
from .ingress import Ingress

__all__ = ["ClientServer", "IngressApp", "readiness_app", "serve"]


class _ClientConnection:
    """Hands a request to the ingress as it came, around quart's own parsing, which would change it."""

    def __init__(self, app: "IngressApp", scope):
        self.app, self.scope = app, scope

    async def __call__(self, receive, send) -> None:
        with suppress(AnswerCut):  # hypercorn closes a connection whose answer has not ended
            await self.app.ingress.serve(self.scope, receive, send)


class IngressApp(Quart):
    """The application that clients reach."""

    asgi_http_class = _ClientConnection

    def __init__(self, ingress: Ingress):
        super().__init__("molespur")
        self.ingress = ingress


def readiness_app(ready: Callable[[], bool], metrics: Callable[[], list[Metric]]) -> Quart:
    """Answers the platform whether clients should come here, and Prometheus."""
    app = Quart("molespur")

    @app.get("/api/metrics")
    async def figures() -> Response:
        return Response(exposition(metrics()), content_type=CONTENT_TYPE)

    @app.get("/api/readyz")
    async def readiness() -> Response:
        return Response("ready\n") if ready() else Response("not ready\n", 503)

    return app
