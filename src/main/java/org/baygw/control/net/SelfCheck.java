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
 * Starts a controller on loopback against a stub of the state service and the cloud, submits, polls
 * and aborts one job, and stops. Shows that the program runs on this machine; the build also uses
 * it to record the classes that a start loads.
 */
public final class SelfCheck {
  private static final int MAX_ATTEMPTS = 100;
  private static final int RETRY_DELAY_MS = 50;

  private final String baseUrl;
  private long revision;

  private SelfCheck(int port) {
    this.baseUrl = "http://127.0.0.1:" + port;
  }

  /** Runs the check with the given optional subsystems; returns whether it succeeded. */
  public static boolean run(Features features) throws Exception {
    int[] ports = new int[2];
    ServerSocket[] reserved = new ServerSocket[ports.length];
    for (int i = 0; i < ports.length; i++) {
      reserved[i] = new ServerSocket(0, 1, InetAddress.getLoopbackAddress());
      ports[i] = reserved[i].getLocalPort();
    }
    for (ServerSocket socket : reserved) {
      socket.close();
    }
    SelfCheck check = new SelfCheck(ports[0]);
    HttpServer stub =
        HttpServer.create(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0);
    stub.createContext("/", check::answerAsStub);
    stub.start();
    EventLoop eventLoop = new EventLoop(settings(ports, stub.getAddress().getPort()), features);
    eventLoop.start();
    try {
      return check.runChecks();
    } finally {
      eventLoop.stop();
      stub.stop(0);
    }
  }

  private boolean runChecks() throws Exception {
    int upStatus = 0;
    for (int i = 0; i < MAX_ATTEMPTS && upStatus != 200; i++) {
      Thread.sleep(RETRY_DELAY_MS);
      upStatus = send("GET", "/up", "");
    }
    System.err.println("self-check: /up answered " + upStatus);
    String report =
        "{\"host\":\"m-1\",\"address\":\"127.0.0.1:1\",\"build\":\"t\",\"yard\":\"here\","
            + "\"loaners\":false,\"stint\":1,\"tick\":%d,\"baton\":0,\"chores\":[]}";
    int reported = 0;
    for (int i = 1; i < MAX_ATTEMPTS && reported != 200; i++) {
      reported = send("POST", "/checkin", String.format(report, i));
      Thread.sleep(RETRY_DELAY_MS);
    }
    String job =
        "{\"id\":\"run-1\",\"lane\":\"l\",\"crew\":\"team\",\"shape\":\"array\",\"rank\":\"normal\","
            + "\"chores\":2,\"cores\":1.0,\"accelerators\":0.0,\"memoryGb\":1.0,\"bundle\":\"b\","
            + "\"sizeGb\":1.0,\"builds\":null,\"yard\":null,\"together\":false,\"spread\":false,"
            + "\"loaners\":true,\"guessS\":1.0,\"stashEveryS\":0.0,\"stashS\":0.0,\"dueS\":null}";
    int accepted = 0;
    for (int i = 0; i < MAX_ATTEMPTS && accepted != 201; i++) {
      accepted = send("POST", "/v1/jobs", job);
      Thread.sleep(RETRY_DELAY_MS);
    }
    int polled = send("GET", "/v1/jobs/run-1", "");
    int aborted = send("POST", "/v1/jobs/run-1/abort", "{}");
    System.err.println(
        "self-check: report " + reported + ", job " + accepted + " " + polled + " " + aborted);
    return upStatus == 200 && reported == 200 && accepted == 201 && polled == 200 && aborted == 200;
  }

  private int send(String method, String path, String body) throws IOException {
    HttpURLConnection connection =
        (HttpURLConnection) URI.create(baseUrl + path).toURL().openConnection();
    connection.setRequestMethod(method);
    if (!body.isEmpty()) {
      connection.setDoOutput(true);
      connection.getOutputStream().write(body.getBytes(StandardCharsets.UTF_8));
    }
    int status = connection.getResponseCode();
    connection.disconnect();
    return status;
  }

  /**
   * Answers as the state service and the cloud: every condition of a write holds, and nothing else
   * ever changes the state.
   */
  private void answerAsStub(HttpExchange exchange) throws IOException {
    JsonNode request = Json.parse(exchange.getRequestBody().readAllBytes());
    String path = exchange.getRequestURI().getPath();
    ObjectNode response = Json.object();
    switch (path) {
      case "/kv" -> response.put("ledgerRev", ++revision).put("more", false).putArray("entries");
      case "/watch" -> response.put("ledgerRev", revision).putArray("events");
      case "/txn" -> response.put("ledgerRev", ++revision);
      case "/holds" -> response.put("hold", 1);
      case "/machine_types" -> {
        ObjectNode type = response.putArray("builds").addObject();
        type.put("name", "t").put("cores", 4).put("accelerators", 0).put("memoryGb", 8);
        type.put("localGb", 8).put("pullGbPerS", 1).put("price", 1).put("spotPrice", 1);
        type.put("readyS", 1).putArray("yards").add("here");
      }
      case "/machines" -> {
        if (request.has("booking")) {
          response.putArray("hosts").add("m-1");
        } else {
          response.put("more", false).putArray("hosts");
        }
      }
      default -> response.put("ok", true);
    }
    byte[] body = Json.bytes(response);
    exchange.sendResponseHeaders(200, body.length);
    exchange.getResponseBody().write(body);
    exchange.close();
  }

  private static Settings settings(int[] ports, int stubPort)
      throws SettingsReader.BadSettings, IOException {
    byte[] text;
    try (var in = SelfCheck.class.getResourceAsStream("/self-check.toml")) {
      text = in.readAllBytes();
    }
    return SettingsReader.parse(
        String.format(
            new String(text, StandardCharsets.UTF_8), ports[0], ports[1], stubPort, stubPort));
  }
}
