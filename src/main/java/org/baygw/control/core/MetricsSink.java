package org.baygw.control.core;

import java.util.function.DoubleSupplier;

/** Where a subsystem registers what it counts. */
public interface MetricsSink {
  /** A value that goes up and down. */
  void gauge(String name, String help, DoubleSupplier value);

  /** A value that only grows. */
  void counter(String name, String help, DoubleSupplier value);
}
