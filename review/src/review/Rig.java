package review;

import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.io.PrintWriter;
import java.io.UncheckedIOException;
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
import java.util.BitSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.IntSupplier;
import java.util.stream.Stream;

/**
 * A small deployment on loopback: controllers as processes of the deploy file's command, and
 * stand-ins of the state service, the cloud, the workers, the load balancer and the users. One
 * thread runs all stand-ins.
 */
final class Rig implements AutoCloseable {
  /** Handles a request; called on the loop. */
  interface Handler {
    void handle(String from, String method, String uri, byte[] body, Reply reply);
  }

  /** Sends the answer to a request. */
  interface Reply {
    void send(int status, Object body);
  }

  /** Receives an answer; the status is 0 if there was none in time, and -1 without a connection. */
  interface Answer {
    void done(int status, byte[] body);
  }

  /** Decides what happens to a direct command. */
  interface FateOf {
    Worker.Fate of(Worker worker, String uri, Map<String, Object> request);
  }

  /** A job of a user, and what became of it. */
  static final class Job {
    final String id;
    final Map<String, Object> body;
    final boolean service;
    final int tasks;
    final double cpus;
    final String image;
    final double imageGb;
    final double stashEveryS;
    final double stashS;
    final long runMs;
    final BitSet done = new BitSet();
    final Map<Integer, Long> savedMs = new HashMap<>();
    int status;
    long acceptedAt;
    long startedAt;
    int starts;
    long lastActivityAt;
    String told = "";
    long toldAt;

    Job(Map<String, Object> body, double runS) {
      this.body = body;
      this.id = (String) body.get("id");
      this.service = body.get("shape").equals("standing");
      this.tasks = (int) Json.number(body.get("chores"));
      this.cpus = Json.decimal(body.get("cores"));
      this.image = (String) body.get("bundle");
      this.imageGb = Json.decimal(body.get("sizeGb"));
      this.stashEveryS = Json.decimal(body.get("stashEveryS"));
      this.stashS = Json.decimal(body.get("stashS"));
      this.runMs = (long) (runS * 1000);
    }

    boolean isDone() {
      return done.cardinality() == tasks;
    }

    long remainingMs(int index) {
      return Math.max(1, runMs - savedMs.getOrDefault(index, 0L));
    }

    void save(int index, long ranMs) {
      savedMs.merge(index, ranMs, Long::sum);
    }
  }

  static final class Unplayable extends RuntimeException {
    private static final long serialVersionUID = 1L;

    Unplayable(String message) {
      super(message);
    }
  }

  // Settings, by default those of steppe-camps.
  String site = "steppe-camps";
  List<String> labels = List.of("yurt-0", "yurt-1", "yurt-2");
  List<String> zones = List.of("ulaanbaatar-dc");
  String teams = "";
  double reportS = 3;
  double leaseS = 28;
  double cancelS = 48;
  double stateRps = 120;
  double stateWriteRps = 40;
  double stateValueKb = 8;
  int stateTxnOps = 16;
  double cloudRps = 2;
  double listLagS = 12;
  String machineType = "tal-16";
  double machineCpus = 16;
  double machineMemoryGb = 128;
  double readyS = 20;
  double price = 0.86;
  double spotPrice = 0.32;
  double cpuShare = 0.136;
  double ramMb = 176;
  int maxConnections = 900;

  /** A script may run for 120 s. */
  static final long LIMIT_MS = 117_500;

  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final Random random = new Random(1);
  final Path folder;
  final Path temporary;
  final Map<String, Job> jobs = new LinkedHashMap<>();
  final List<String> broken = new ArrayList<>();

  /** Polls without an answer within 2 s, by controller. */
  final Map<String, Integer> unanswered = new TreeMap<>();

  StateService state;
  CloudService cloud;

  /** The node to which a new worker reports first. */
  IntSupplier firstNode = () -> random.nextInt(labels.size());

  FateOf fate = (worker, uri, request) -> Worker.Fate.DELIVERED;

  /** Whether each order, start and end is written to the record, or only their numbers. */
  boolean recordsTasks = true;

  long launches;
  long starts;
  long ends;

  private final long startNanos = System.nanoTime();
  private final ScheduledThreadPoolExecutor loop = new ScheduledThreadPoolExecutor(1);
  private final ExecutorService pool = Executors.newCachedThreadPool();
  private final HttpClient client =
      HttpClient.newBuilder()
          .version(HttpClient.Version.HTTP_1_1)
          .connectTimeout(Duration.ofSeconds(1))
          .executor(pool)
          .build();
  private final List<HttpServer> servers = new ArrayList<>();
  private final Map<String, Process> processes = new TreeMap<>();
  private final Map<String, int[]> ports = new TreeMap<>();
  private final Map<String, Integer> statePorts = new HashMap<>();
  private final Map<String, String> taskOn = new HashMap<>();
  private final Map<String, boolean[]> probes = new HashMap<>();
  private final PrintWriter record;
  private int lastUser;

  Rig(String folder) throws IOException {
    this.folder = Path.of(folder);
    this.temporary = Files.createTempDirectory("review");
    this.record = new PrintWriter(Files.newBufferedWriter(this.folder.resolve("record.txt")), true);
    loop.setRemoveOnCancelPolicy(true);
    Runtime.getRuntime().addShutdownHook(new Thread(this::endProcesses));
  }

  long now() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  void log(String format, Object... values) {
    String line = String.format("%8.3f  ", now() / 1000.0) + String.format(format, values);
    synchronized (record) {
      record.println(line);
    }
  }

  void after(long ms, Runnable action) {
    if (loop.isShutdown()) {
      return;
    }
    loop.schedule(() -> safely(action), Math.max(0, ms), TimeUnit.MILLISECONDS);
  }

  void every(long ms, Runnable action) {
    after(
        ms,
        () -> {
          action.run();
          every(ms, action);
        });
  }

  private void safely(Runnable action) {
    try {
      action.run();
    } catch (RuntimeException e) {
      log("stand-in failed: %s", e);
      e.printStackTrace();
    }
  }

  /** Serves a stand-in on a free port of loopback; returns the port. */
  int serve(String from, Handler handler) {
    try {
      HttpServer server =
          HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 200);
      server.setExecutor(pool);
      server.createContext("/", exchange -> receive(from, handler, exchange));
      server.start();
      servers.add(server);
      return server.getAddress().getPort();
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }

  private void receive(String from, Handler handler, HttpExchange exchange) throws IOException {
    byte[] body = exchange.getRequestBody().readAllBytes();
    String method = exchange.getRequestMethod();
    String uri = exchange.getRequestURI().toString();
    Reply reply =
        (status, answer) -> {
          byte[] bytes = Json.bytes(answer);
          pool.execute(
              () -> {
                try (exchange) {
                  exchange.getResponseHeaders().set("Content-Type", "application/json");
                  exchange.sendResponseHeaders(status, bytes.length);
                  exchange.getResponseBody().write(bytes);
                } catch (IOException e) {
                  // The caller has gone.
                }
              });
        };
    loop.execute(
        () ->
            safely(
                () -> {
                  if (body.length > 64 * 1024) {
                    log("a request body of %d bytes to %s", body.length, uri);
                    reply.send(400, Json.object("error", "too large"));
                  } else {
                    handler.handle(from, method, uri, body, reply);
                  }
                }));
  }

  /** Calls a controller on its port for users and workers. */
  void call(String label, String method, String path, Object body, long waitMs, Answer answer) {
    call(ports.get(label)[0], method, path, body, waitMs, answer);
  }

  private void call(int port, String method, String path, Object body, long waitMs, Answer answer) {
    byte[] bytes = body == null ? new byte[0] : Json.bytes(body);
    HttpRequest request =
        HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + path))
            .timeout(Duration.ofMillis(waitMs))
            .method(method, HttpRequest.BodyPublishers.ofByteArray(bytes))
            .build();
    client
        .sendAsync(request, HttpResponse.BodyHandlers.ofByteArray())
        .whenComplete(
            (response, failure) ->
                loop.execute(
                    () ->
                        safely(
                            () -> {
                              if (response != null) {
                                answer.done(response.statusCode(), response.body());
                              } else {
                                boolean refused =
                                    String.valueOf(failure).contains("ConnectException");
                                answer.done(refused ? -1 : 0, new byte[0]);
                              }
                            })));
  }

  /** Asks a controller on its port for operators and waits; an empty map without an answer. */
  Map<String, Object> admin(String label, String path) {
    try {
      HttpRequest request =
          HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + ports.get(label)[1] + path))
              .timeout(Duration.ofSeconds(2))
              .build();
      HttpResponse<byte[]> response =
          client.send(request, HttpResponse.BodyHandlers.ofByteArray());
      return response.statusCode() == 200 ? Json.map(Json.parse(response.body())) : Map.of();
    } catch (IOException e) {
      return Map.of();
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  // Controllers.

  private static int freePort(Set<Integer> taken) throws IOException {
    while (true) {
      try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        if (taken.add(socket.getLocalPort())) {
          return socket.getLocalPort();
        }
      }
    }
  }

  /** Starts the stand-ins of the platform, then all controllers. */
  void start() throws IOException {
    state = new StateService(this);
    if (cloud == null) {
      cloud = new CloudService(this);
    }
    Set<Integer> taken = new HashSet<>();
    for (String label : labels) {
      ports.put(label, new int[] {freePort(taken), freePort(taken)});
      statePorts.put(label, serve(label, state::handle));
    }
    int cloudPort = serve("a controller", cloud::handle);
    log("site %s, trouble %s", site, trouble);
    for (String label : labels) {
      Files.writeString(temporary.resolve(label + ".toml"), settings(label, cloudPort));
      launch(label);
    }
    every(1_000, this::probe);
  }

  private String settings(String label, int cloudPort) {
    StringBuilder text = new StringBuilder();
    text.append("label = \"" + label + "\"\ndomain = \"" + zoneOf(label) + "\"\n");
    text.append("serve_on = \"127.0.0.1:" + ports.get(label)[0] + "\"\n");
    text.append("peer_listen = \"127.0.0.1:" + ports.get(label)[1] + "\"\n");
    for (String other : labels) {
      if (!other.equals(label)) {
        text.append("[[siblings]]\nlabel = \"" + other + "\"\ndomain = \"" + zoneOf(other) + "\"\n");
        text.append("addr = \"127.0.0.1:" + ports.get(other)[1] + "\"\n");
      }
    }
    text.append("[external]\ncloud = \"127.0.0.1:" + cloudPort + "\"\n");
    text.append("state = \"127.0.0.1:" + statePorts.get(label) + "\"\n");
    text.append("[settings]\ninitial_size = " + labels.size() + "\nzones = " + Json.text(zones));
    text.append("\ntime_bound_ms = 100.0\n" + teams);
    text.append("[settings.workers]\nreport_s = " + reportS + "\nlease_s = " + leaseS + "\n");
    text.append("gang_wait_s = 50.0\ngang_peer_s = 6.0\ncancel_s = " + cancelS + "\n");
    text.append("[settings.state]\nrps = " + stateRps + "\nwrite_rps = " + stateWriteRps + "\n");
    text.append("value_kb = " + stateValueKb + "\ntxn_ops = " + stateTxnOps + "\n");
    text.append("[settings.cloud]\nrps = " + cloudRps + "\nlist_lag_s = " + listLagS + "\n");
    text.append("[settings.resources]\ncpu_share = " + cpuShare + "\nram_mb = " + ramMb + "\n");
    return text.append("max_connections = " + maxConnections + "\n").toString();
  }

  String zoneOf(String label) {
    return zones.get(labels.indexOf(label) % zones.size());
  }

  /** A team of the settings file. */
  void team(String name, double cpus, double cpusMax) {
    teams +=
        "[[settings.teams]]\nname = \"" + name + "\"\ncpus = " + cpus + "\ncpus_max = " + cpusMax
            + "\ngpus = 0.0\ngpus_max = 0.0\n";
  }

  /** Starts a controller with the command of the deploy file. */
  void launch(String label) throws IOException {
    String run = null;
    for (String line : Files.readAllLines(Path.of("deploy/service.toml"))) {
      if (line.startsWith("run = ")) {
        run = line.substring(line.indexOf('"') + 1, line.lastIndexOf('"'));
      }
    }
    List<String> command = new ArrayList<>(List.of(run.split(" ")));
    command.add(temporary.resolve(label + ".toml").toString());
    processes.put(
        label,
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(
                ProcessBuilder.Redirect.appendTo(temporary.resolve(label + ".log").toFile()))
            .start());
    log("controller %s: started", label);
  }

  boolean isAlive(String label) {
    return processes.get(label) != null && processes.get(label).isAlive();
  }

  /** The load balancer's probes; a node is used while its last probe was answered with 200. */
  private void probe() {
    for (String label : labels) {
      call(
          label,
          "GET",
          "/up",
          null,
          1_000,
          (status, body) -> {
            boolean[] healthy = probes.computeIfAbsent(label, k -> new boolean[1]);
            if (healthy[0] != (status == 200)) {
              log("load balancer: %s is %s", label, status == 200 ? "healthy" : "unhealthy");
            }
            healthy[0] = status == 200;
          });
    }
  }

  boolean healthy(String label) {
    return probes.containsKey(label) && probes.get(label)[0];
  }

  private String anyNode() {
    for (int i = 0; i < labels.size(); i++) {
      String label = labels.get(++lastUser % labels.size());
      if (healthy(label)) {
        return label;
      }
    }
    return labels.get(++lastUser % labels.size());
  }

  // Users.

  Job job(String task) {
    return jobs.get(task.substring(0, task.indexOf('/')));
  }

  int index(String task) {
    return Integer.parseInt(task.substring(task.indexOf('/') + 1));
  }

  /** A submission with usual values; the arguments replace some of them. */
  static Map<String, Object> submission(String id, Object... namesAndValues) {
    Map<String, Object> body =
        Json.object(
            "id", id, "lane", "work", "crew", "", "shape", "array", "rank", "normal", "chores", 1L,
            "cores", 1.0, "accelerators", 0.0, "memoryGb", 1.0, "bundle", "img-1", "sizeGb", 0.2,
            "builds", null, "yard", null, "together", false, "spread", false, "loaners", true,
            "guessS", 10.0, "stashEveryS", 0.0, "stashS", 0.0, "dueS", null);
    for (int i = 0; i < namesAndValues.length; i += 2) {
      body.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return body;
  }

  /** Submits a job as a user does, with retries, and polls it until it is over. */
  Job submit(Map<String, Object> body, double runS) {
    Job job = new Job(body, runS);
    jobs.put(job.id, job);
    loop.execute(() -> safely(() -> submitOnce(job, now())));
    return job;
  }

  private void submitOnce(Job job, long since) {
    String label = anyNode();
    call(
        label,
        "POST",
        "/v1/jobs",
        job.body,
        5_000,
        (status, body) -> {
          log("user: submits %s to %s: %d %s", job.id, label, status, new String(body));
          job.status = status;
          if (status == 200 || status == 201) {
            job.acceptedAt = now();
            job.lastActivityAt = now();
            after(2_000, () -> poll(job));
          } else if (status != 400 && status != 422 && now() - since < 60_000) {
            after(1_000, () -> submitOnce(job, since));
          }
        });
  }

  private void poll(Job job) {
    String label = anyNode();
    call(
        label,
        "GET",
        "/v1/jobs/" + job.id,
        null,
        2_000,
        (status, body) -> {
          Map<String, Object> answer = Json.map(body.length == 0 ? null : Json.parse(body));
          log("user: asks %s about %s: %d %s", label, job.id, status, new String(body));
          if (status == 0) {
            unanswered.merge(label, 1, Integer::sum);
          }
          if (status == 200) {
            job.told = String.valueOf(answer.get("status"));
            job.toldAt = now();
          }
          if (!job.told.equals("done") && !job.told.equals("cancelled")) {
            after(5_000, () -> poll(job));
          }
        });
  }

  // What runs.

  void ordered(String worker, String from, Map<String, Object> order) {
    if (recordsTasks) {
      log("%s: order (%s) %s", worker, from, Json.text(order));
    }
    launches += order.get("verb").equals("launch") ? 1 : 0;
  }

  void started(Worker worker, String task, long number) {
    starts++;
    Job job = job(task);
    job.starts++;
    job.startedAt = job.startedAt == 0 ? now() : job.startedAt;
    job.lastActivityAt = now();
    if (recordsTasks) {
      log("%s: %s attempt %d runs", worker.name, task, number);
    }
    String before = taskOn.put(task, worker.name);
    if (before != null && !before.equals(worker.name)) {
      log("%s starts on %s while it is on %s", task, worker.name, before);
    }
  }

  void left(Worker worker, String task, long number, String why, boolean active) {
    ends++;
    Job job = job(task);
    if (job != null) {
      job.lastActivityAt = now();
    }
    if (active && worker.name.equals(taskOn.get(task))) {
      taskOn.remove(task);
    }
    if (recordsTasks) {
      log("%s: %s attempt %d ended: %s", worker.name, task, number, why);
    }
  }

  boolean runs(String task) {
    return taskOn.containsKey(task);
  }

  /** Since when no task of the job has been on a machine; now if one is. */
  long waitsSince(Job job) {
    return running(job) > 0 ? now() : job.lastActivityAt;
  }

  /** Whether a machine, a spot machine only if allowed, has room for a task of the job. */
  boolean hasRoom(Job job, boolean spotAllowed) {
    return cloud.workers().stream()
        .anyMatch(w -> (spotAllowed || !w.spot) && w.freeCpus() >= job.cpus);
  }

  /** Number of the job's tasks that run now. */
  int running(Job job) {
    return (int) taskOn.keySet().stream().filter(t -> t.startsWith(job.id + "/")).count();
  }

  void breakRule(String what) {
    broken.add(what);
    log("RULE BROKEN: %s", what);
  }

  // The script of a case, which runs on the main thread.

  /** Evaluates on the loop. */
  <T> T on(java.util.concurrent.Callable<T> action) {
    try {
      return loop.submit(action).get();
    } catch (Exception e) {
      throw new IllegalStateException(e);
    }
  }

  /** Runs an action on the loop. */
  void act(Runnable action) {
    on(
        () -> {
          action.run();
          return null;
        });
  }

  void sleep(long ms) {
    try {
      Thread.sleep(ms);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Waits for a condition; false if it did not come true in time. */
  boolean waitFor(long ms, BooleanSupplier condition) {
    long until = now() + ms;
    while (now() < until) {
      if (on(condition::getAsBoolean)) {
        return true;
      }
      sleep(50);
    }
    return false;
  }

  /** As above, but the case cannot be played without it. */
  void require(String what, long ms, BooleanSupplier condition) {
    if (!waitFor(ms, condition)) {
      throw new Unplayable("not within " + ms + " ms: " + what);
    }
    log("case: %s", what);
  }

  /** At the time limit the case says nothing unless the rule was broken or the end was reached. */
  void needsVerdict(boolean reachedEnd) {
    if (broken.isEmpty() && !reachedEnd) {
      throw new Unplayable("the time is over before the rule could be judged");
    }
  }

  /** Copies lines of the controllers' logs that contain one of the words into the record. */
  void quoteLogs(int most, String... words) {
    for (String label : labels) {
      try {
        int quoted = 0;
        for (String line : Files.readAllLines(temporary.resolve(label + ".log"))) {
          boolean wanted = false;
          for (String word : words) {
            wanted |= line.contains(word);
          }
          if (wanted && quoted++ < most) {
            synchronized (record) {
              record.println("log of " + label + ": " + line);
            }
          }
        }
      } catch (IOException e) {
        log("no log of %s", label);
      }
    }
  }

  private void endProcesses() {
    processes.values().forEach(Process::destroyForcibly);
    for (Process process : processes.values()) {
      try {
        process.waitFor(5, TimeUnit.SECONDS);
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() {
    endProcesses();
    loop.shutdownNow();
    servers.forEach(server -> server.stop(0));
    pool.shutdownNow();
    try (Stream<Path> files = Files.list(temporary)) {
      for (Path file : files.toList()) {
        Files.delete(file);
      }
      Files.delete(temporary);
    } catch (IOException e) {
      // The temporary folder stays.
    }
  }

  /** A case. */
  interface Case {
    void play(Rig rig) throws Exception;
  }

  /** Plays a case and ends the program: 0 the rule held, 1 it was broken, 2 it could not run. */
  static void main(String folder, Case played) throws IOException {
    int status;
    Rig rig = new Rig(folder);
    try {
      played.play(rig);
      status = rig.broken.isEmpty() ? 0 : 1;
    } catch (Unplayable e) {
      rig.log("the case could not run: %s", e.getMessage());
      status = 2;
    } catch (Exception e) {
      rig.log("the case could not run: %s", e);
      e.printStackTrace();
      status = 2;
    }
    String verdict = status == 0 ? "held" : status == 1 ? "broken" : "could not run";
    rig.log("result: %s", verdict);
    System.out.println(verdict + " " + rig.broken);
    rig.close();
    Runtime.getRuntime().halt(status);
  }
}
