package org.baygw.control.core;

import java.util.function.DoubleSupplier;

/** Registers the metrics of a subsystem. */
public interface MetricsSink {
  /** Registers a value that may rise and fall. */
  void gauge(String name, String help, DoubleSupplier value);

  /** Registers a value that only increases. */
  void counter(String name, String help, DoubleSupplier value);
}
