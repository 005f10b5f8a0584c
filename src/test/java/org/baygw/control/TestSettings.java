package org.baygw.control;

import java.util.List;
import org.baygw.control.config.Settings;

/** Settings for tests of single parts of a controller. */
public final class TestSettings {
  /** A controller without peers that listens on free ports of the loopback. */
  public static Settings oneController() {
    return new Settings(
        "yurt-0",
        "a",
        new Settings.Endpoint("127.0.0.1", 0),
        new Settings.Endpoint("127.0.0.1", 0),
        List.of(),
        "127.0.0.1:1",
        "127.0.0.1:1",
        List.of("a"),
        100,
        List.of(new Settings.Team("red", 8, 16, 0, 0)),
        List.of(),
        new Settings.WorkerTimes(2, 10, 35),
        new Settings.StateLimits(1_000, 1_000, 8, 16),
        new Settings.CloudLimits(10, 3),
        new Settings.Resources(1, 1_000));
  }

  private TestSettings() {}
}
