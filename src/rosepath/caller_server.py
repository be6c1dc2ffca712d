"""The callers' HTTP application: its paths, health and metrics."""

from tornado.web import Application

from rosepath.caller_handler import CallerPorts, Handler
from rosepath.deferred_handlers import DeferHandler, DeferredStatusHandler
from rosepath.errors import Refusal, Run, Step
from rosepath.generation_handlers import GenerationHandler, ModelsHandler
from rosepath.service_handler import ServiceHandler


class LiveHandler(Handler):
    """Tell that the process runs."""

    def get(self) -> None:
        self.finish("ok\n")


class ReadyHandler(Handler):
    """Tell the balancer whether to send callers here."""

    def get(self) -> None:
        reason = self.ports.ready()
        self.set_status(503 if reason else 200)
        self.finish((reason or "ready") + "\n")


class MetricsHandler(Handler):
    """Show the metrics."""

    def get(self) -> None:
        self.set_header("Content-Type", "text/plain; version=0.0.4")
        self.finish(self.ports.telemetry.metrics_text())


class UnknownPathHandler(Handler):
    """Refuse paths that do not exist."""

    async def prepare(self) -> None:
        refusal = Refusal(404, "path_not_found", "no such path", Run.NO, Step.PARSE)
        await self.send_refusal(refusal)


def make_application(ports: CallerPorts) -> Application:
    """Build the callers' HTTP application."""
    given = {"ports": ports}
    return Application(
        [
            (r"/v1/models", ModelsHandler, given),
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
            (r"/v1/deferred", DeferHandler, given),
            (r"/v1/deferred/([0-9a-f]{32})", DeferredStatusHandler, given),
            (r"/services/([^/?]+)(?:/.*)?", ServiceHandler, given),
            (r"/livez", LiveHandler, given),
            (r"/readyz", ReadyHandler, given),
            (r"/metrics", MetricsHandler, given),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=given,
        log_function=lambda _: None,
    )
