package org.baygw.control.admin;

import io.micrometer.core.instrument.FunctionCounter;
import io.micrometer.core.instrument.Gauge;
import io.micrometer.core.instrument.binder.jvm.JvmMemoryMetrics;
import io.micrometer.prometheusmetrics.PrometheusConfig;
import io.micrometer.prometheusmetrics.PrometheusMeterRegistry;
import java.util.function.DoubleSupplier;
import java.util.function.ToDoubleFunction;
import org.HdrHistogram.Histogram;
import org.baygw.control.core.MetricsSink;

/**
 * The metrics page. Subsystems count in plain fields, which the registry reads. Created at the
 * first request for the page, because loading the registry's classes would slow down every start.
 */
final class Metrics implements MetricsSink {
  private static final double[] PERCENTILES = {50, 90, 99, 100};

  private final PrometheusMeterRegistry registry =
      new PrometheusMeterRegistry(PrometheusConfig.DEFAULT);

  Metrics() {
    new JvmMemoryMetrics().bindTo(registry);
  }

  @Override
  public void gauge(String name, String help, DoubleSupplier value) {
    gauge(name, help, value, DoubleSupplier::getAsDouble);
  }

  @Override
  public void counter(String name, String help, DoubleSupplier value) {
    counter(name, help, value, DoubleSupplier::getAsDouble);
  }

  <T> void counter(String name, String help, T source, ToDoubleFunction<T> value) {
    FunctionCounter.builder(name, source, value).description(help).register(registry);
  }

  <T> void gauge(String name, String help, T source, ToDoubleFunction<T> value) {
    Gauge.builder(name, source, value).description(help).register(registry);
  }

  /** Registers the percentiles and the count of a histogram of milliseconds. */
  void histogram(String name, String help, Histogram histogram) {
    for (double p : PERCENTILES) {
      Gauge.builder(name, histogram, x -> x.getValueAtPercentile(p))
          .description(help)
          .tag("percentile", String.valueOf(p))
          .register(registry);
    }
    counter(name + ".count", help, histogram, Histogram::getTotalCount);
  }

  String scrape() {
    return registry.scrape();
  }
}
