"""The callers' HTTP application: routes, health checks and metrics."""

from tornado.web import Application

from rosepath.caller_handler import CallerPorts, Handler
from rosepath.deferred_handlers import DeferHandler, DeferredStatusHandler
from rosepath.errors import Refusal, Run, Step
from rosepath.generation_handlers import GenerationHandler, ModelsHandler
from rosepath.service_handler import ServiceHandler

# Below it, bodies are relayed as they arrive.
SERVICES_PREFIX = "/services/"


class LiveHandler(Handler):
    """Liveness check: respond while the process runs."""

    def get(self) -> None:
        self.finish("ok\n")


class ReadyHandler(Handler):
    """Readiness check, by which the load balancer selects entry VMs."""

    def get(self) -> None:
        reason = self.ports.ready()
        self.set_status(503 if reason else 200)
        self.finish((reason or "ready") + "\n")


class MetricsHandler(Handler):
    """Serve the metrics in the Prometheus text format."""

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.ports.telemetry.metrics_text())


class UnknownPathHandler(Handler):
    """Respond with 404 to unknown paths."""

    async def prepare(self) -> None:
        refusal = Refusal(404, "path_not_found", "no such path", Run.NO, Step.PARSE)
        await self.send_refusal(refusal)


def make_application(ports: CallerPorts) -> Application:
    """Build the callers' HTTP application."""
    arguments = {"ports": ports}
    return Application(
        [
            (r"/v1/models", ModelsHandler, arguments),
            (
                r"/v1/chat/completions",
                GenerationHandler,
                {"ports": ports, "shape": "chat"},
            ),
            (
                r"/v1/completions",
                GenerationHandler,
                {"ports": ports, "shape": "completion"},
            ),
            (r"/v1/deferred", DeferHandler, arguments),
            (r"/v1/deferred/([0-9a-f]{32})", DeferredStatusHandler, arguments),
            (SERVICES_PREFIX + r"([^/?]+)(?:/.*)?", ServiceHandler, arguments),
            (r"/livez", LiveHandler, arguments),
            (r"/readyz", ReadyHandler, arguments),
            (r"/metrics", MetricsHandler, arguments),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=arguments,
        log_function=lambda _: None,
    )
