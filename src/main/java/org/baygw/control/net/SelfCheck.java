package org.baygw.control.net;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.sun.net.httpserver.HttpExchange;
import com.sun.net.httpserver.HttpServer;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import org.baygw.control.config.Features;
import org.baygw.control.config.Settings;
import org.baygw.control.config.SettingsReader;
import org.baygw.control.core.Json;

/**
 * Starts a controller on loopback against a stand-in that agrees to everything, takes one job
 * through it, and ends. Shows that the program runs here; the build also collects the classes of a
 * start by it.
 */
public final class SelfCheck {
  private static final int TRIES = 100;
  private static final int PAUSE_MS = 50;

  private final String base;
  private long revision;

  private SelfCheck(int port) {
    this.base = "http://127.0.0.1:" + port;
  }

  /** Plays it with the optional subsystems that are chosen. */
  public static boolean run(Features features) throws Exception {
    int[] ports = new int[2];
    ServerSocket[] taken = new ServerSocket[ports.length];
    for (int i = 0; i < ports.length; i++) {
      taken[i] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      ports[i] = taken[i].getLocalPort();
    }
    for (ServerSocket s : taken) {
      s.close();
    }
    SelfCheck check = new SelfCheck(ports[0]);
    HttpServer standIn =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    standIn.createContext("/", check::answer);
    standIn.start();
    EventLoop eventLoop = new EventLoop(settings(ports, standIn.getAddress().getPort()), features);
    eventLoop.start();
    try {
      return check.play();
    } finally {
      eventLoop.stop();
      standIn.stop(0);
    }
  }

  private boolean play() throws Exception {
    int status = 0;
    for (int i = 0; i < TRIES && status != 200; i++) {
      Thread.sleep(PAUSE_MS);
      status = ask("GET", "/up", "");
    }
    System.err.println("self-check: /up answered " + status);
    String report =
        "{\"host\":\"m-1\",\"address\":\"127.0.0.1:1\",\"build\":\"t\",\"yard\":\"here\","
            + "\"loaners\":false,\"stint\":1,\"tick\":%d,\"baton\":0,\"chores\":[]}";
    int reported = 0;
    for (int i = 1; i < TRIES && reported != 200; i++) {
      reported = ask("POST", "/checkin", String.format(report, i));
      Thread.sleep(PAUSE_MS);
    }
    String job =
        "{\"id\":\"run-1\",\"lane\":\"l\",\"crew\":\"team\",\"shape\":\"array\",\"rank\":\"normal\","
            + "\"chores\":2,\"cores\":1.0,\"accelerators\":0.0,\"memoryGb\":1.0,\"bundle\":\"b\","
            + "\"sizeGb\":1.0,\"builds\":null,\"yard\":null,\"together\":false,\"spread\":false,"
            + "\"loaners\":true,\"guessS\":1.0,\"stashEveryS\":0.0,\"stashS\":0.0,\"dueS\":null}";
    int accepted = 0;
    for (int i = 0; i < TRIES && accepted != 201; i++) {
      accepted = ask("POST", "/v1/jobs", job);
      Thread.sleep(PAUSE_MS);
    }
    int polled = ask("GET", "/v1/jobs/run-1", "");
    int aborted = ask("POST", "/v1/jobs/run-1/abort", "{}");
    System.err.println(
        "self-check: report " + reported + ", job " + accepted + " " + polled + " " + aborted);
    return status == 200 && reported == 200 && accepted == 201 && polled == 200 && aborted == 200;
  }

  private int ask(String method, String path, String body) throws IOException {
    HttpURLConnection c = (HttpURLConnection) URI.create(base + path).toURL().openConnection();
    c.setRequestMethod(method);
    if (!body.isEmpty()) {
      c.setDoOutput(true);
      c.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
    }
    int status = c.getResponseCode();
    c.disconnect();
    return status;
  }

  /**
   * The state service and the cloud in one: every condition holds, and nothing else ever changes.
   */
  private void answer(HttpExchange x) throws IOException {
    JsonNode in = Json.parse(x.getRequestBody().readAllBytes());
    String path = x.getRequestURI().getPath();
    ObjectNode out = Json.object();
    switch (path) {
      case "/kv" -> out.put("ledgerRev", ++revision).put("more", false).putArray("entries");
      case "/watch" -> out.put("ledgerRev", revision).putArray("events");
      case "/txn" -> out.put("ledgerRev", ++revision);
      case "/holds" -> out.put("hold", 1);
      case "/machine_types" -> {
        ObjectNode t = out.putArray("builds").addObject();
        t.put("name", "t").put("cores", 4).put("accelerators", 0).put("memoryGb", 8);
        t.put("localGb", 8).put("pullGbPerS", 1).put("price", 1).put("spotPrice", 1);
        t.put("readyS", 1).putArray("yards").add("here");
      }
      case "/machines" -> {
        if (in.has("booking")) {
          out.putArray("hosts").add("m-1");
        } else {
          out.put("more", false).putArray("hosts");
        }
      }
      default -> out.put("ok", true);
    }
    byte[] body = Json.bytes(out);
    x.sendResponseHeaders(200, body.length);
    x.getResponseBody().write(body);
    x.close();
  }

  private static Settings settings(int[] ports, int standIn)
      throws SettingsReader.BadSettings, IOException {
    byte[] text;
    try (var in = SelfCheck.class.getResourceAsStream("/self-check.toml")) {
      text = in.readAllBytes();
    }
    return SettingsReader.parse(
        String.format(
            new String(text, StandardCharsets.UTF_8), ports[0], ports[1], standIn, standIn));
  }
}
