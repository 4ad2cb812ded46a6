"""HTTP handlers for operators: health check, metrics, status and keys."""

import hashlib
import hmac

import msgspec

from oleanderdrift import codes
from oleanderdrift import errors
from oleanderdrift import http_base
from oleanderdrift import metrics


class HealthHandler(http_base.BaseHandler):
    """GET /healthz: the load balancer's health check."""

    def get(self) -> None:
        """Responds with 200 while the instance accepts new requests."""
        ready = self.context.feed.caught_up.is_set()
        ready = ready and self.context.shares.ready.is_set()
        ready = ready and not self.context.board.draining
        self.set_status(200 if ready else 503)
        self.finish('ready\n' if ready else 'not ready\n')


class MetricsHandler(http_base.BaseHandler):
    """GET /metrics, in the Prometheus text format."""

    def get(self) -> None:
        """Responds with all metrics."""
        self.set_header('Content-Type', metrics.CONTENT_TYPE)
        self.finish(self.context.metrics.exposition())


class OperatorHandler(http_base.BaseHandler):
    """Base class of the handlers that require the operator token."""

    def check_operator(self) -> None:
        """Raises ResultError(OPERATOR_ONLY) without the token."""
        expected = self.context.board.settings.operators.token_sha256
        token = http_base.bearer_token(self.request)
        digest = hashlib.sha256(token.encode()).hexdigest()
        if not expected or not hmac.compare_digest(digest, expected):
            raise errors.ResultError(codes.OPERATOR_ONLY)


class WithdrawHandler(OperatorHandler):
    """POST /v1/operator/keys/NAME/withdraw; works without the log."""

    async def post(self, name: str) -> None:
        """Withdraws a key at once, here and at every reachable peer."""
        await self.run_request(self._post(name))

    async def _post(self, name: str) -> None:
        self.check_operator()
        key = self.context.withdraw_key(name)
        self.set_result(codes.OK)
        self.set_header('Content-Type', http_base.JSON)
        self.finish(msgspec.json.encode({'withdrawn': key.name}))


class StatusHandler(OperatorHandler):
    """GET /v1/status.

    It requires the operator token only if one is configured.
    """

    def get(self) -> None:
        """Responds with the instance's status as JSON."""
        try:
            if self.context.board.settings.operators.token_sha256:
                self.check_operator()
        except errors.ResultError as error:
            self.refuse(error)
            return
        self.set_header('Content-Type', http_base.JSON)
        self.finish(self.context.read_status())
