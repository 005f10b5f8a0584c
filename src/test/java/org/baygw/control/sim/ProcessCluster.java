package org.baygw.control.sim;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.ConnectException;
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
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.baygw.control.config.Settings;
import org.baygw.control.core.Outbox;

/**
 * Runs a scenario's controllers as real processes of the built jar on loopback, in real time. The
 * state service, the cloud, the workers and the users are the simulated cluster's stubs, reached
 * over HTTP and all run by one thread. Kills and pauses only processes that it has started itself.
 */
final class ProcessCluster implements SimulatedCluster.RemoteControllers, AutoCloseable {
  /**
   * Sender of orders to a worker: the worker's address is the same for all controllers, so it is
   * not known which of them sent an order.
   */
  static final String ANY_CONTROLLER = "any controller";

  private static final Duration TIMEOUT = Duration.ofSeconds(6);
  private static final long MAX_WAIT_MS = 20;
  private static final InetAddress LOOPBACK = InetAddress.getLoopbackAddress();

  private final SimulatedCluster cluster;
  private final List<String> command;
  private final Path logs;
  private final ExecutorService threads = Executors.newCachedThreadPool();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .executor(threads)
          .build();
  private final LinkedBlockingQueue<Runnable> inbox = new LinkedBlockingQueue<>();
  private final List<HttpServer> servers = new ArrayList<>();
  private final Map<String, String> workerAddresses = new HashMap<>();
  private final Map<String, Process> processes = new HashMap<>();
  private final Map<String, Path> configs = new HashMap<>();

  /** Two ports of each controller: one for users and workers, one for its peers. */
  private final Map<String, int[]> ports = new HashMap<>();

  private final long startNanos = System.nanoTime();

  /**
   * Prepares the processes of a scenario's controllers.
   *
   * @param command the command line up to the settings file
   * @param logs a directory for settings and logs
   */
  ProcessCluster(SimulatedCluster cluster, List<String> command, Path logs) throws IOException {
    this.cluster = cluster;
    this.command = command;
    this.logs = logs;
    String cloud = address(listen("cloud", "cloud"));
    Set<Integer> taken = new HashSet<>();
    for (String label : cluster.labels) {
      ports.put(label, new int[] {freePort(taken), freePort(taken)});
    }
    for (SimulatedCluster.Node node : cluster.nodes.values()) {
      String state = address(listen(node.label, "state"));
      Path config = logs.resolve(node.label + ".toml");
      Files.writeString(config, toml(cluster.settingsOf(node), cloud, state));
      configs.put(node.label, config);
    }
    cluster.remote = this;
  }

  private static String address(HttpServer server) {
    return "127.0.0.1:" + server.getAddress().getPort();
  }

  private static int freePort(Set<Integer> taken) throws IOException {
    while (true) {
      try (ServerSocket socket = new ServerSocket(0, 1, LOOPBACK)) {
        if (taken.add(socket.getLocalPort())) {
          return socket.getLocalPort();
        }
      }
    }
  }

  /** Serves a stub; all its requests count as sent by the given host. */
  private HttpServer listen(String from, String to) throws IOException {
    HttpServer server = HttpServer.create(new InetSocketAddress(LOOPBACK, 0), 0);
    server.setExecutor(threads);
    server.createContext("/", exchange -> handle(from, to, exchange));
    server.start();
    servers.add(server);
    return server;
  }

  private void handle(String from, String to, HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String method = exchange.getRequestMethod();
    String path = exchange.getRequestURI().toString();
    inbox.add(
        () ->
            cluster.receive(
                from,
                to,
                method,
                path,
                body,
                (status, answer) -> threads.execute(() -> respond(exchange, status, answer))));
  }

  private static void respond(HttpExchange exchange, int status, byte[] answer) {
    try (exchange) {
      exchange.sendResponseHeaders(status, answer.length == 0 ? -1 : answer.length);
      exchange.getResponseBody().write(answer);
    } catch (IOException e) {
      // The requesting process is gone.
    }
  }

  /** Content of a controller's settings file, as the platform writes it. */
  private String toml(Settings settings, String cloud, String state) {
    StringBuilder text = new StringBuilder();
    int[] own = ports.get(settings.label());
    text.append("label = \"").append(settings.label()).append("\"\n");
    text.append("domain = \"").append(settings.zone()).append("\"\n");
    text.append("serve_on = \"127.0.0.1:").append(own[0]).append("\"\n");
    text.append("peer_listen = \"127.0.0.1:").append(own[1]).append("\"\n");
    for (Settings.Peer peer : settings.peers()) {
      text.append("[[siblings]]\nlabel = \"").append(peer.label()).append("\"\n");
      text.append("domain = \"").append(peer.zone()).append("\"\n");
      text.append("addr = \"127.0.0.1:").append(ports.get(peer.label())[1]).append("\"\n");
    }
    text.append("[external]\ncloud = \"").append(cloud).append("\"\n");
    text.append("state = \"").append(state).append("\"\n");
    text.append("[settings]\ninitial_size = ").append(cluster.labels.size()).append("\n");
    text.append("zones = [\"").append(String.join("\", \"", settings.zones())).append("\"]\n");
    text.append("time_bound_ms = ").append(settings.timeBoundMs()).append("\n");
    for (Settings.Team team : settings.teams()) {
      text.append("[[settings.teams]]\nname = \"").append(team.name()).append("\"\n");
      text.append("cpus = ").append(team.cpus()).append("\n");
      text.append("cpus_max = ").append(team.cpusMax()).append("\n");
    }
    Settings.WorkerTimes workers = settings.workers();
    text.append("[settings.workers]\nreport_s = ").append(workers.reportS()).append("\n");
    text.append("lease_s = ").append(workers.leaseS()).append("\n");
    text.append("cancel_s = ").append(workers.cancelS()).append("\n");
    Settings.StateLimits limits = settings.state();
    text.append("[settings.state]\nrps = ").append(limits.rps()).append("\n");
    text.append("write_rps = ").append(limits.writeRps()).append("\n");
    text.append("value_kb = ").append(limits.valueKb()).append("\n");
    text.append("txn_ops = ").append(limits.txnOps()).append("\n");
    text.append("[settings.cloud]\nrps = ").append(settings.cloud().rps()).append("\n");
    text.append("list_lag_s = ").append(settings.cloud().listLagS()).append("\n");
    text.append("[settings.resources]\ncpu_share = 1.0\nram_mb = 512.0\n");
    return text.append("max_connections = 1000\n").toString();
  }

  /** Runs the cluster in real time until the given time. */
  void runUntil(long endMs) throws InterruptedException {
    while (elapsedMs() < endMs) {
      cluster.runUntil(elapsedMs());
      long wait = Math.min(MAX_WAIT_MS, cluster.nextEventAt() - elapsedMs());
      Runnable input = inbox.poll(Math.max(0, wait), TimeUnit.MILLISECONDS);
      while (input != null) {
        cluster.runUntil(elapsedMs());
        input.run();
        input = inbox.poll();
      }
    }
  }

  private long elapsedMs() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  @Override
  public void start(String label) {
    kill(label);
    List<String> line = new ArrayList<>(command);
    line.add(configs.get(label).toString());
    Path log = logs.resolve(label + ".log");
    try {
      processes.put(
          label,
          new ProcessBuilder(line)
              .redirectErrorStream(true)
              .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
              .start());
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  @Override
  public void kill(String label) {
    Process process = processes.remove(label);
    if (process != null) {
      process.destroyForcibly();
    }
  }

  @Override
  public void pause(String label, long forMs) {
    Process process = processes.get(label);
    if (process != null && process.isAlive()) {
      signal("-STOP", process);
      cluster.after(forMs, () -> signal("-CONT", process));
    }
  }

  private static void signal(String signal, Process process) {
    if (!process.isAlive()) {
      return;
    }
    try {
      new ProcessBuilder("kill", signal, String.valueOf(process.pid())).start().waitFor();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  @Override
  public void terminate(String label) {
    Process process = processes.get(label);
    if (process != null) {
      process.destroy();
    }
  }

  @Override
  public boolean isAlive(String label) {
    Process process = processes.get(label);
    return process != null && process.isAlive();
  }

  @Override
  public void send(
      String label,
      boolean peer,
      String method,
      String path,
      byte[] body,
      StateServiceStub.ResponseCallback respond) {
    HttpRequest request =
        HttpRequest.newBuilder(
                URI.create("http://127.0.0.1:" + ports.get(label)[peer ? 1 : 0] + path))
            .timeout(TIMEOUT)
            .method(
                method, HttpRequest.BodyPublishers.ofByteArray(body == null ? new byte[0] : body))
            .build();
    client
        .sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .whenComplete(
            (response, failure) ->
                inbox.add(
                    () -> {
                      if (response != null) {
                        respond.done(response.statusCode(), response.body());
                      } else if (failure.getCause() instanceof ConnectException) {
                        respond.done(Outbox.NOT_SENT, new byte[0]);
                      } else {
                        respond.done(Outbox.NO_ANSWER, new byte[0]);
                      }
                    }));
  }

  /** Processor time in ms and resident memory in MB that each process has used so far. */
  Map<String, String> usage() throws IOException {
    Map<String, String> usage = new TreeMap<>();
    for (Map.Entry<String, Process> entry : processes.entrySet()) {
      long cpuMs = entry.getValue().info().totalCpuDuration().orElse(Duration.ZERO).toMillis();
      Path status = Path.of("/proc", String.valueOf(entry.getValue().pid()), "status");
      long kb = 0;
      for (String line : Files.readAllLines(status)) {
        kb = line.startsWith("VmRSS:") ? Long.parseLong(line.replaceAll("\\D", "")) : kb;
      }
      usage.put(entry.getKey(), cpuMs + " ms, " + kb / 1024 + " MB");
    }
    return usage;
  }

  @Override
  public String address(String worker) {
    return workerAddresses.computeIfAbsent(
        worker,
        name -> {
          try {
            return address(listen(ANY_CONTROLLER, name));
          } catch (IOException e) {
            throw new UncheckedIOException(e);
          }
        });
  }

  @Override
  public void close() {
    processes.values().forEach(Process::destroyForcibly);
    servers.forEach(server -> server.stop(0));
    threads.shutdownNow();
  }
}
