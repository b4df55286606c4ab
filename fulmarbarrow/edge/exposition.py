"""Serves the metrics alone."""

from __future__ import annotations

from twisted.web import http
from twisted.web import resource as resources

from fulmarbarrow.observe import metrics as metrics_module


class MetricsResource(resources.Resource):
    """Gives the metrics in the text form, and nothing else."""

    isLeaf = True  # noqa: N815

    def __init__(self, *, metrics: metrics_module.Metrics) -> None:
        super().__init__()
        self._metrics = metrics

    def render_GET(self, request: http.Request) -> bytes:  # noqa: N802
        """Return the exposition."""
        request.setHeader("Content-Type", "text/plain; version=0.0.4")
        return self._metrics.exposition()
