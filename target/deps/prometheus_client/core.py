from .metrics import Counter, Enum, Gauge, Histogram, Info, Summary
from .metrics_core import (
    CounterMetricFamily, GaugeHistogramMetricFamily, GaugeMetricFamily,
    HistogramMetricFamily, InfoMetricFamily, Metric, StateSetMetricFamily,
    SummaryMetricFamily, UnknownMetricFamily, UntypedMetricFamily,
)
from .registry import CollectorRegistry, DuplicateTimeseries, REGISTRY
from .samples import BucketSpan, Exemplar, NativeHistogram, Sample, Timestamp

__all__ = (
    'BucketSpan',
    'CollectorRegistry',
    'Counter',
    'CounterMetricFamily',
    'DuplicateTimeseries',
    'Enum',
    'Exemplar',
    'Gauge',
    'GaugeHistogramMetricFamily',
    'GaugeMetricFamily',
    'Histogram',
    'HistogramMetricFamily',
    'Info',
    'InfoMetricFamily',
    'Metric',
    'NativeHistogram',
    'REGISTRY',
    'Sample',
    'StateSetMetricFamily',
    'Summary',
    'SummaryMetricFamily',
    'Timestamp',
    'UnknownMetricFamily',
    'UntypedMetricFamily',
)
