import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: the controllers are processes started with the command line of
 * deploy/service.toml; the state service, the cloud, the workers and the users are stand-ins that
 * follow the protocol's page. All stand-ins share one lock, the rig itself.
 */
final class Rig {
  /** The part of a settings file that does not depend on the addresses. */
  static final class Site {
    List<String> zones = List.of("ulaanbaatar-dc");
    int controllers = 3;
    double reportS = 3;
    double leaseS = 28;
    double cancelS = 48;
    double rps = 120;
    double writeRps = 40;
    int txnOps = 16;
    double valueKb = 8;
    double cloudRps = 2;
    double listLagS = 12;
    double cpuShare = 0.136;
    double ramMb = 176;
    int maxConnections = 900;
    String type = "tal-16";
    double typeCpus = 16;
    double typeMemoryGb = 128;
    double price = 0.86;
    double spotPrice = 0.32;
    double bootS = 20;
    double fetchGbPerS = 1.0;

    /** Name, guaranteed CPUs, most CPUs. */
    List<Object[]> teams =
        List.of(
            new Object[] {"booking-desk", 96.0, 232.0},
            new Object[] {"ranger-liaison", 120.0, 352.0},
            new Object[] {"treasury-unit", 104.0, 176.0},
            new Object[] {"park-planning", 96.0, 288.0});

    /** Adds a team without a guarantee, for which no limit is named. */
    void withGuest(String name) {
      teams = new ArrayList<>(teams);
      teams.add(new Object[] {name, 0.0, 0.0});
    }

    /** The deployment of the condominiums, with the values of the first brief. */
    static Site siam() {
      Site site = new Site();
      site.zones = List.of("bkk-east", "bkk-silom");
      site.reportS = 2;
      site.leaseS = 10;
      site.cancelS = 35;
      site.rps = 250;
      site.writeRps = 100;
      site.txnOps = 32;
      site.cloudRps = 6;
      site.listLagS = 6;
      site.cpuShare = 0.204;
      site.ramMb = 205;
      site.maxConnections = 1500;
      site.type = "khao-16";
      site.typeMemoryGb = 64;
      site.price = 0.62;
      site.spotPrice = 0.14;
      site.bootS = 50;
      site.fetchGbPerS = 0.8;
      site.teams =
          List.of(
              new Object[] {"juristic-ops", 232.0, 2500.0},
              new Object[] {"finance-desk", 96.0, 700.0},
              new Object[] {"facility-tech", 120.0, 1500.0});
      return site;
    }
  }

  final ScheduledExecutorService clock = Executors.newScheduledThreadPool(4);
  final ExecutorService threads = Executors.newCachedThreadPool();
  final Site site;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Path folder;
  final Checks checks = new Checks(this);
  final StateService state = new StateService(this);
  final Cloud cloud = new Cloud(this);
  final List<String> labels = new ArrayList<>();
  final Map<String, Worker> workers = new LinkedHashMap<>();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .executor(threads)
          .build();
  private final Map<String, int[]> ports = new LinkedHashMap<>();
  private final Map<String, Process> processes = new LinkedHashMap<>();
  private final Map<String, Path> configs = new LinkedHashMap<>();
  private final Set<Integer> taken = new HashSet<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private final List<String> command;
  private final PrintWriter record;
  private final long startNanos = System.nanoTime();
  private volatile boolean closed;

  Rig(Site site) throws IOException {
    this.site = site;
    this.folder = Files.createTempDirectory("baygw-review");
    this.record = new PrintWriter(Files.newBufferedWriter(Path.of(System.getProperty("record"))), true);
    String deploy = Files.readString(Path.of("deploy/service.toml"));
    int from = deploy.indexOf("run = \"") + "run = \"".length();
    this.command = List.of(deploy.substring(from, deploy.indexOf('"', from)).split(" "));
    Runtime.getRuntime().addShutdownHook(new Thread(this::end));
  }

  // Time and record.

  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void note(String text) {
    record.printf(Locale.ROOT, "%8.3f %s%n", now() / 1000.0, text);
  }

  void sleepUntil(double seconds) {
    sleep((long) (seconds * 1000) - now());
  }

  static void sleep(long ms) {
    try {
      Thread.sleep(Math.max(0, ms));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Waits until the condition holds; false if it does not hold in time. */
  boolean await(double seconds, java.util.function.BooleanSupplier condition) {
    long end = now() + (long) (seconds * 1000);
    while (now() < end) {
      synchronized (this) {
        if (condition.getAsBoolean()) {
          return true;
        }
      }
      sleep(5);
    }
    return false;
  }

  void after(long ms, Runnable action) {
    clock.schedule(
        () -> {
          try {
            synchronized (this) {
              action.run();
            }
          } catch (RuntimeException e) {
            note("stand-in failed: " + e);
            e.printStackTrace();
          }
        },
        Math.max(0, ms),
        TimeUnit.MILLISECONDS);
  }

  // Servers of the stand-ins.

  /** The answer to a request; may be given by any thread, once. */
  interface Reply {
    void send(int status, Object body);
  }

  interface Handler {
    void handle(String method, String path, byte[] body, Reply reply);
  }

  String serve(Handler handler) {
    try {
      HttpServer server =
          HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 512);
      server.setExecutor(threads);
      server.createContext("/", exchange -> handle(handler, exchange));
      server.start();
      servers.add(server);
      return "127.0.0.1:" + server.getAddress().getPort();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private void handle(Handler handler, HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    handler.handle(
        exchange.getRequestMethod(),
        exchange.getRequestURI().toString(),
        body,
        (status, answer) ->
            threads.execute(
                () -> {
                  byte[] bytes = Json.bytes(answer);
                  try (exchange) {
                    exchange.getResponseHeaders().set("Content-Type", "application/json");
                    exchange.sendResponseHeaders(status, bytes.length);
                    exchange.getResponseBody().write(bytes);
                  } catch (IOException e) {
                    // The process that asked is gone.
                  }
                }));
  }

  // Requests to controllers.

  /** An answer; the status is 0 if none came in time, -1 if the connection failed. */
  record Answer(int status, Map<String, Object> body) {}

  CompletableFuture<Answer> send(
      String label, boolean peerPort, String method, String path, byte[] body, double timeoutS) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + ports.get(label)[peerPort ? 1 : 0] + path))
            .timeout(Duration.ofMillis((long) (timeoutS * 1000)))
            .method(
                method,
                body == null
                    ? HttpRequest.BodyPublishers.noBody()
                    : HttpRequest.BodyPublishers.ofByteArray(body))
            .build();
    return client
        .sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .handle(
            (response, failure) -> {
              if (response != null) {
                return new Answer(response.statusCode(), Json.object(response.body()));
              }
              Throwable cause = failure.getCause() == null ? failure : failure.getCause();
              return new Answer(
                  cause instanceof java.net.http.HttpTimeoutException ? 0 : -1, Json.of());
            });
  }

  // Controllers.

  /** Prepares the settings files; the controllers are started by {@link #start}. */
  void prepare() throws IOException {
    String cloudAddress = serve(cloud::handle);
    for (int i = 0; i < site.controllers; i++) {
      labels.add("yurt-" + i);
      ports.put("yurt-" + i, new int[] {freePort(), freePort()});
    }
    for (String label : labels) {
      Path config = folder.resolve(label + ".toml");
      Files.writeString(config, toml(label, cloudAddress));
      configs.put(label, config);
    }
  }

  /** A free port below those that the system gives to connections while a controller is down. */
  private int freePort() {
    while (true) {
      int port = 12_000 + (int) (Math.random() * 19_000);
      try (ServerSocket socket = new ServerSocket(port, 1, InetAddress.getLoopbackAddress())) {
        if (taken.add(port)) {
          return port;
        }
      } catch (IOException e) {
        // The port is in use.
      }
    }
  }

  private String zoneOf(String label) {
    return site.zones.get(labels.indexOf(label) % site.zones.size());
  }

  private String toml(String label, String cloudAddress) {
    StringBuilder text = new StringBuilder();
    text.append("label = \"" + label + "\"\ndomain = \"" + zoneOf(label) + "\"\n");
    text.append("serve_on = \"127.0.0.1:" + ports.get(label)[0] + "\"\n");
    text.append("peer_listen = \"127.0.0.1:" + ports.get(label)[1] + "\"\n");
    for (String other : labels) {
      if (!other.equals(label)) {
        text.append("[[siblings]]\nlabel = \"" + other + "\"\n");
        text.append("domain = \"" + zoneOf(other) + "\"\n");
        text.append("addr = \"127.0.0.1:" + ports.get(other)[1] + "\"\n");
      }
    }
    String stateAddress = serve((m, p, b, r) -> state.handle(label, m, p, b, r));
    text.append("[external]\ncloud = \"" + cloudAddress + "\"\nstate = \"" + stateAddress + "\"\n");
    text.append("[settings]\ninitial_size = " + site.controllers + "\n");
    text.append("zones = " + Json.write(site.zones) + "\ntime_bound_ms = 100.0\n");
    for (Object[] team : site.teams) {
      text.append("[[settings.teams]]\nname = \"" + team[0] + "\"\ncpus = " + team[1]);
      text.append("\ncpus_max = " + team[2] + "\ngpus = 0.0\ngpus_max = 0.0\n");
    }
    text.append("[settings.workers]\nreport_s = " + site.reportS + "\nlease_s = " + site.leaseS);
    text.append("\ngang_wait_s = 50.0\ngang_peer_s = 6.0\ncancel_s = " + site.cancelS + "\n");
    text.append("[settings.state]\nrps = " + site.rps + "\nwrite_rps = " + site.writeRps);
    text.append("\nvalue_kb = " + site.valueKb + "\ntxn_ops = " + site.txnOps + "\n");
    text.append("[settings.cloud]\nrps = " + site.cloudRps);
    text.append("\nlist_lag_s = " + site.listLagS + "\n");
    text.append("[settings.resources]\ncpu_share = " + site.cpuShare);
    text.append("\nram_mb = " + site.ramMb + "\nmax_connections = " + site.maxConnections + "\n");
    return text.toString();
  }

  synchronized void start(String label) {
    List<String> line = new ArrayList<>(command);
    line.add(configs.get(label).toString());
    try {
      processes.put(
          label,
          new ProcessBuilder(line)
              .redirectErrorStream(true)
              .redirectOutput(
                  ProcessBuilder.Redirect.appendTo(folder.resolve(label + ".log").toFile()))
              .start());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
    note("controller " + label + " is started");
  }

  void startAll() {
    labels.forEach(this::start);
  }

  /** Kills a controller's process with SIGKILL. */
  void kill(String label) {
    Process process = processes.get(label);
    process.destroyForcibly();
    note("controller " + label + " is killed");
  }

  /** Kills all controllers' processes at the same moment. */
  void killAll() {
    processes.values().forEach(Process::destroyForcibly);
    note("all controllers are killed");
  }

  boolean isAlive(String label) {
    return processes.containsKey(label) && processes.get(label).isAlive();
  }

  /** Waits until all controllers answer 200 to GET /up; ends with 2 if they do not. */
  void awaitUp(double seconds) {
    for (String label : labels) {
      long end = now() + (long) (seconds * 1000);
      while (send(label, false, "GET", "/up", null, 1).join().status() != 200) {
        if (now() > end) {
          cannotRun("controller " + label + " does not come up");
        }
        sleep(50);
      }
    }
    note("all controllers are up");
  }

  /** Number of tasks that are saving. */
  int saving() {
    return workers.values().stream().mapToInt(Worker::saving).sum();
  }

  // The end.

  void cannotRun(String why) {
    note("the case could not run: " + why);
    System.out.println("could not run: " + why);
    System.exit(2);
  }

  /** Ends with 1 if a rule was broken, else with 0. */
  void finish() {
    List<String> broken;
    synchronized (this) {
      broken = new ArrayList<>(checks.broken);
    }
    note(broken.isEmpty() ? "held: no rule was broken" : "broken: " + broken);
    System.out.println((broken.isEmpty() ? "held" : "broken: " + broken) + " (trouble " + trouble + ")");
    System.exit(broken.isEmpty() ? 0 : 1);
  }

  private void end() {
    if (closed) {
      return;
    }
    closed = true;
    processes.values().forEach(Process::destroyForcibly);
    String keep = System.getenv("KEEP_LOGS");
    try {
      for (Process process : processes.values()) {
        process.waitFor(2, TimeUnit.SECONDS);
      }
      if (keep != null) {
        for (String label : labels) {
          Files.copy(
              folder.resolve(label + ".log"),
              Path.of(keep, label + ".log"),
              java.nio.file.StandardCopyOption.REPLACE_EXISTING);
        }
      }
      try (Stream<Path> files = Files.walk(folder)) {
        files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
      }
    } catch (IOException | InterruptedException e) {
      // Only temporary files remain.
    }
  }
}
