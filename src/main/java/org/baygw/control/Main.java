package org.baygw.control;

import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.Callable;
import org.baygw.control.config.Settings;
import org.baygw.control.config.SettingsReader;
import org.baygw.control.net.EventLoop;
import org.baygw.control.net.SelfCheck;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Command;
import picocli.CommandLine.Option;

/** The command line. */
@Command(
    name = "baygw",
    mixinStandardHelpOptions = true,
    versionProvider = Main.Version.class,
    description = "A controller of the baygw cluster scheduler. Runs until it is killed.",
    footer = {"", "LOG_LEVEL: error, info (default) or debug; the log goes to standard error."})
public final class Main implements Callable<Integer> {
  private static final int BAD_USAGE = 2;

  @Option(
      names = "--config",
      paramLabel = "FILE",
      description = "The platform's settings file (TOML).")
  private Path config;

  @Option(
      names = "--self-check",
      description =
          "Start on loopback, answer one request, and end: shows that the program runs here.")
  private boolean selfCheck;

  /** The version from the jar's manifest. */
  static final class Version implements CommandLine.IVersionProvider {
    @Override
    public String[] getVersion() {
      String v = Main.class.getPackage().getImplementationVersion();
      return new String[] {"baygw " + (v == null ? "(unpacked)" : v)};
    }
  }

  public static void main(String[] args) {
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
    if (!level.equals("error") && !level.equals("info") && !level.equals("debug")) {
      System.err.println("LOG_LEVEL: must be error, info or debug");
      System.exit(BAD_USAGE);
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    System.setProperty(
        "org.slf4j.simpleLogger.log.io.netty", level.equals("debug") ? "info" : level);
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
    int status =
        new CommandLine(new Main())
            .setParameterExceptionHandler(
                (e, a) -> {
                  System.err.println("baygw: " + e.getMessage().replace('\n', ' '));
                  return BAD_USAGE;
                })
            .execute(args);
    if (status != RUNS) {
      System.exit(status);
    }
  }

  /** Not an exit status: the event loop goes on after main has returned. */
  private static final int RUNS = -1;

  @Override
  public Integer call() throws Exception {
    if (selfCheck) {
      return SelfCheck.run() ? 0 : 1;
    }
    if (config == null) {
      System.err.println("baygw: --config FILE is missing; see --help");
      return BAD_USAGE;
    }
    Settings settings;
    try {
      settings = SettingsReader.read(config);
    } catch (SettingsReader.BadSettings e) {
      System.err.println("baygw: " + e.getMessage());
      return BAD_USAGE;
    }
    new EventLoop(settings).start();
    LoggerFactory.getLogger(Main.class)
        .info("{} listens on port {}", settings.label(), settings.listen().port());
    return RUNS;
  }
}
