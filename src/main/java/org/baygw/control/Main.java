package org.baygw.control;

import java.nio.file.Path;
import java.util.Locale;
import org.baygw.control.config.Features;
import org.baygw.control.config.FeaturesReader;
import org.baygw.control.config.Settings;
import org.baygw.control.config.SettingsReader;
import org.baygw.control.net.EventLoop;
import org.baygw.control.net.SelfCheck;
import org.slf4j.LoggerFactory;
import picocli.CommandLine;
import picocli.CommandLine.Model.CommandSpec;
import picocli.CommandLine.Model.OptionSpec;

/** The command-line entry point. */
public final class Main {
  private static final int BAD_USAGE = 2;
  private static final String CONFIG = "--config";
  private static final String FEATURES = "--features";
  private static final String SELF_CHECK = "--self-check";

  private Main() {}

  public static void main(String[] args) throws Exception {
    configureLogging();
    CommandLine commandLine = new CommandLine(command());
    CommandLine.ParseResult parsed;
    try {
      parsed = commandLine.parseArgs(args);
    } catch (CommandLine.ParameterException e) {
      throw exit(BAD_USAGE, "baygw: " + e.getMessage().replace('\n', ' '));
    }
    if (parsed.isUsageHelpRequested()) {
      commandLine.usage(System.out);
    } else if (parsed.isVersionHelpRequested()) {
      System.out.println("baygw " + version());
    } else if (parsed.hasMatchedOption(SELF_CHECK)) {
      System.exit(SelfCheck.run(features(parsed)) ? 0 : 1);
    } else if (!parsed.hasMatchedOption(CONFIG)) {
      throw exit(BAD_USAGE, "baygw: --config FILE is missing; see --help");
    } else {
      serve(parsed.matchedOptionValue(CONFIG, (Path) null), features(parsed));
    }
  }

  /** Built without annotations: reading them would take a third of a controller's start-up time. */
  private static CommandSpec command() {
    CommandSpec spec = CommandSpec.create().name("baygw");
    spec.usageMessage()
        .description("A controller of the baygw cluster scheduler. Runs until it is terminated.")
        .footer("", "LOG_LEVEL: error, info (default) or debug; the log goes to standard error.");
    spec.addOption(
        OptionSpec.builder(CONFIG)
            .paramLabel("FILE")
            .type(Path.class)
            .description("The platform's settings file (TOML).")
            .build());
    spec.addOption(
        OptionSpec.builder(FEATURES)
            .paramLabel("FILE")
            .type(Path.class)
            .description("Optional subsystems to enable (TOML); without this file none is enabled.")
            .build());
    spec.addOption(
        OptionSpec.builder(SELF_CHECK)
            .type(boolean.class)
            .description(
                "Check that the program runs here: start on loopback, answer one request, and exit.")
            .build());
    spec.addOption(
        OptionSpec.builder("-h", "--help")
            .type(boolean.class)
            .usageHelp(true)
            .description("Show this help message and exit.")
            .build());
    spec.addOption(
        OptionSpec.builder("-V", "--version")
            .type(boolean.class)
            .versionHelp(true)
            .description("Print version information and exit.")
            .build());
    return spec;
  }

  /** The version from the JAR manifest. */
  private static String version() {
    String version = Main.class.getPackage().getImplementationVersion();
    return version == null ? "(unpacked)" : version;
  }

  private static void configureLogging() {
    String level = System.getenv().getOrDefault("LOG_LEVEL", "info").toLowerCase(Locale.ROOT);
    if (!level.equals("error") && !level.equals("info") && !level.equals("debug")) {
      throw exit(BAD_USAGE, "LOG_LEVEL: must be error, info or debug");
    }
    System.setProperty("org.slf4j.simpleLogger.defaultLogLevel", level);
    System.setProperty(
        "org.slf4j.simpleLogger.log.io.netty", level.equals("debug") ? "info" : level);
    System.setProperty("org.slf4j.simpleLogger.showThreadName", "false");
    System.setProperty("org.slf4j.simpleLogger.showShortLogName", "true");
  }

  private static Features features(CommandLine.ParseResult parsed) {
    if (!parsed.hasMatchedOption(FEATURES)) {
      return Features.NONE;
    }
    try {
      return FeaturesReader.read(parsed.matchedOptionValue(FEATURES, (Path) null));
    } catch (SettingsReader.BadSettings e) {
      throw exit(BAD_USAGE, "baygw: features: " + e.getMessage());
    }
  }

  /** Starts a controller. Its event loop keeps running after this method returns. */
  private static void serve(Path config, Features features) throws InterruptedException {
    Settings settings;
    try {
      settings = SettingsReader.read(config);
    } catch (SettingsReader.BadSettings e) {
      throw exit(BAD_USAGE, "baygw: " + e.getMessage());
    }
    EventLoop eventLoop = new EventLoop(settings, features);
    eventLoop.start();
    if (features.standby() != null) {
      Runtime.getRuntime().addShutdownHook(new Thread(() -> stopGracefully(eventLoop)));
    }
    LoggerFactory.getLogger(Main.class)
        .info("{} listens on port {}", settings.label(), settings.listen().port());
  }

  private static void stopGracefully(EventLoop eventLoop) {
    try {
      eventLoop.handOverAndStop();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Exits; declares a return value so that callers can write {@code throw exit(...)}. */
  private static RuntimeException exit(int status, String message) {
    System.err.println(message);
    System.exit(status);
    return new IllegalStateException("System.exit returned");
  }
}
