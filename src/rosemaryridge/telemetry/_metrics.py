"""Collect and render the metrics of a process."""

import aioprometheus
from aioprometheus.collectors import Collector
from aioprometheus.histogram import Histogram

from rosemaryridge.codes import Code
from rosemaryridge.telemetry import _specs
from rosemaryridge.telemetry._specs import MetricKind
from rosemaryridge.telemetry._specs import MetricSpec

_COLLECTORS = {
    MetricKind.COUNTER: aioprometheus.Counter,
    MetricKind.GAUGE: aioprometheus.Gauge,
}
_TEXT_FORMAT = ("text/plain",)


class Metrics:
    """Hold every counter, gauge and histogram of one process.

    Counters and gauges change in the path of every statement, so that they are stored
    in a plain dictionary and copied to the registry when it is rendered.
    """

    def __init__(self) -> None:
        self.registry = aioprometheus.Registry()
        self._values: dict[tuple[MetricSpec, tuple[str, ...]], float] = {}
        self._series: dict[tuple[MetricSpec, tuple[str, ...]], Histogram] = {}
        self._collectors: dict[MetricSpec, Collector] = {}

    def inc(self, spec: MetricSpec, *labels: str, by: float = 1) -> None:
        """Add to a counter or gauge."""
        key = (spec, labels)
        self._values[key] = self._values.get(key, 0) + by

    def set(self, spec: MetricSpec, value: float, *labels: str) -> None:
        """Set a gauge."""
        self._values[(spec, labels)] = value

    def observe(self, spec: MetricSpec, value_s: float, *labels: str) -> None:
        """Add one observation in seconds to a histogram."""
        series = self._series.get((spec, labels))
        if series is None:
            series = self._series[(spec, labels)] = self._create_series(spec, labels)
        series.observe(value_s)

    def value(self, spec: MetricSpec, *labels: str) -> float:
        """Return the value of a counter or gauge; 0 if it was never set."""
        return self._values.get((spec, labels), 0)

    def refuse(self, code: Code, service: str = "") -> None:
        """Count a refusal by its code."""
        self.inc(_specs.REFUSALS, code.name, service)

    def retry(self, reason: Code | str, service: str = "") -> None:
        """Count a retry by its reason."""
        name = reason.name if isinstance(reason, Code) else reason
        self.inc(_specs.RETRIES, name, service)

    def render(self) -> bytes:
        """Return the metrics in the text format of Prometheus."""
        for (spec, labels), value in self._values.items():
            label_values = dict(zip(spec.labels, labels, strict=True))
            self._collector(spec).set(label_values, value)
        page, _ = aioprometheus.render(self.registry, _TEXT_FORMAT)
        return page

    def _create_series(self, spec: MetricSpec, labels: tuple[str, ...]) -> Histogram:
        series = Histogram(*spec.buckets, float("inf"))
        label_values = dict(zip(spec.labels, labels, strict=True))
        self._collector(spec).set_value(label_values, series)
        return series

    def _collector(self, spec: MetricSpec) -> Collector:
        collector = self._collectors.get(spec)
        if collector is None:
            collector = self._collectors[spec] = self._create_collector(spec)
        return collector

    def _create_collector(self, spec: MetricSpec) -> Collector:
        if spec.kind is MetricKind.HISTOGRAM:
            buckets = (*spec.buckets, float("inf"))
            return aioprometheus.Histogram(
                spec.name, spec.doc, registry=self.registry, buckets=buckets
            )
        collector_class = _COLLECTORS[spec.kind]
        return collector_class(spec.name, spec.doc, registry=self.registry)
