"""Counters and percentiles of one daemon."""

from __future__ import annotations

import datetime
import typing

import hdrh.histogram

if typing.TYPE_CHECKING:
    import prometheus_client.core

LOWEST_MICROSECONDS = 10
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 2
LABELLED_LOWEST_MICROSECONDS = 100
LABELLED_SIGNIFICANT_DIGITS = 1
MAX_LABELLED_HISTOGRAMS = 256
OTHER = "other"
PERCENTILES = (50.0, 95.0, 99.0, 99.9)

_MICROSECOND = datetime.timedelta(microseconds=1)

_Labels = tuple[tuple[str, str], ...]


class Metrics:
    """Named counters and duration histograms with labels.

    The exposition gives every one the ``common`` labels, such as the zone.
    """

    def __init__(self, *, common: dict[str, str] | None = None) -> None:
        self._common = common or {}
        self._counters: dict[tuple[str, _Labels], int] = {}
        self._histograms: dict[
            tuple[str, _Labels], hdrh.histogram.HdrHistogram
        ] = {}

    def count(self, name: str, amount: int = 1, **labels: str) -> None:
        """Add ``amount`` to a counter."""
        key = (name, tuple(sorted(labels.items())))
        self._counters[key] = self._counters.get(key, 0) + amount

    def record(
        self, name: str, duration: datetime.timedelta, **labels: str
    ) -> None:
        """Add a duration to a histogram.

        Durations above the highest count as the highest. Beyond
        ``MAX_LABELLED_HISTOGRAMS`` the labels' values become ``OTHER``.
        """
        key = (name, tuple(sorted(labels.items())))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._add_histogram(key)
        micros = duration // _MICROSECOND
        histogram.record_value(
            min(max(LOWEST_MICROSECONDS, micros), HIGHEST_MICROSECONDS)
        )

    def _add_histogram(
        self, key: tuple[str, _Labels]
    ) -> hdrh.histogram.HdrHistogram:
        name, labels = key
        lowest, digits = LOWEST_MICROSECONDS, SIGNIFICANT_DIGITS
        if labels:
            lowest = LABELLED_LOWEST_MICROSECONDS
            digits = LABELLED_SIGNIFICANT_DIGITS
            if len(self._histograms) >= MAX_LABELLED_HISTOGRAMS:
                key = (name, tuple((label, OTHER) for label, _ in labels))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = hdrh.histogram.HdrHistogram(
                lowest, HIGHEST_MICROSECONDS, digits
            )
            self._histograms[key] = histogram
        return histogram

    def value(self, name: str, **labels: str) -> int:
        """Return a counter's value, 0 before its first count."""
        return self._counters.get((name, tuple(sorted(labels.items()))), 0)

    def total(self, name: str) -> int:
        """Return the sum of a counter over all its labels."""
        return sum(
            value for key, value in self._counters.items() if key[0] == name
        )

    def dump(self) -> dict[str, typing.Any]:
        """Return all counters and percentiles, as plain data."""
        return {
            "counters": {
                _label(key): value
                for key, value in sorted(self._counters.items())
            },
            "percentiles_microseconds": {
                _label(key): {
                    "count": histogram.get_total_count(),
                    **{
                        f"p{percentile:g}": histogram.get_value_at_percentile(
                            percentile
                        )
                        for percentile in PERCENTILES
                    },
                }
                for key, histogram in sorted(
                    self._histograms.items(), key=lambda item: item[0]
                )
            },
        }

    def exposition(self) -> bytes:
        """Return everything in the common text exposition form."""
        # Only who reads the metrics waits for its import.
        import prometheus_client

        registry = prometheus_client.CollectorRegistry()
        registry.register(self)
        return prometheus_client.generate_latest(registry)

    def collect(
        self,
    ) -> typing.Iterator[prometheus_client.core.Metric]:
        """Yield the metric families; called by prometheus_client."""
        yield from self._counter_families()
        yield from self._summary_families()

    def _counter_families(
        self,
    ) -> typing.Iterator[prometheus_client.core.Metric]:
        from prometheus_client import core

        families: dict[str, prometheus_client.core.CounterMetricFamily] = {}
        for (name, labels), value in sorted(self._counters.items()):
            family = families.get(name)
            if family is None:
                family = core.CounterMetricFamily(
                    f"fulmarbarrow_{name}", name.replace("_", " ")
                )
                families[name] = family
            family.add_sample(
                f"fulmarbarrow_{name}_total",
                {**self._common, **dict(labels)},
                value,
            )
        yield from families.values()

    def _summary_families(
        self,
    ) -> typing.Iterator[prometheus_client.core.Metric]:
        from prometheus_client import core

        families: dict[str, prometheus_client.core.Metric] = {}
        for (name, labels), histogram in sorted(
            self._histograms.items(), key=lambda item: item[0]
        ):
            full = f"fulmarbarrow_{name}_seconds"
            family = families.setdefault(
                name,
                core.Metric(full, name.replace("_", " "), "summary"),
            )
            own = {**self._common, **dict(labels)}
            for percentile in PERCENTILES:
                value = histogram.get_value_at_percentile(percentile) / 1e6
                quantile = f"{percentile / 100:g}"
                family.add_sample(full, {**own, "quantile": quantile}, value)
            family.add_sample(
                f"{full}_count", own, histogram.get_total_count()
            )
        yield from families.values()


def _label(key: tuple[str, _Labels]) -> str:
    """Return a counter's name with its labels in braces."""
    name, labels = key
    if not labels:
        return name
    inner = ",".join(f"{label}={value}" for label, value in labels)
    return f"{name}{{{inner}}}"
