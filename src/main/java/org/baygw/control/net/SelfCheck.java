package org.baygw.control.net;

import java.net.HttpURLConnection;
import java.net.ServerSocket;
import java.net.URI;
import org.baygw.control.config.Settings;
import org.baygw.control.config.SettingsReader;

/**
 * Starts a controller on loopback with nothing behind it and asks it something. The build runs it once
 * to collect the classes of a start.
 */
public final class SelfCheck {
  public static boolean run() throws Exception {
    int[] ports = new int[4];
    ServerSocket[] taken = new ServerSocket[ports.length];
    for (int i = 0; i < ports.length; i++) {
      taken[i] = new ServerSocket(0);
      ports[i] = taken[i].getLocalPort();
    }
    for (ServerSocket s : taken) {
      s.close();
    }
    Settings settings =
        SettingsReader.parse(
            String.join(
                "\n",
                "label = 'self'",
                "domain = 'here'",
                "serve_on = '127.0.0.1:" + ports[0] + "'",
                "peer_listen = '127.0.0.1:" + ports[1] + "'",
                "[external]",
                "cloud = '127.0.0.1:" + ports[2] + "'",
                "state = '127.0.0.1:" + ports[3] + "'",
                "[settings]",
                "zones = ['here']",
                "[[settings.teams]]",
                "name = 'team'",
                "cpus = 1.0",
                "cpus_max = 1.0",
                "[settings.workers]",
                "report_s = 2.0",
                "lease_s = 10.0",
                "cancel_s = 30.0",
                "[settings.state]",
                "rps = 100.0",
                "write_rps = 50.0",
                "value_kb = 8.0",
                "txn_ops = 16",
                "[settings.cloud]",
                "rps = 2.0",
                "list_lag_s = 6.0",
                "[settings.resources]",
                "max_connections = 100"));
    Shell shell = new Shell(settings);
    shell.start();
    try {
      HttpURLConnection c =
          (HttpURLConnection)
              URI.create("http://127.0.0.1:" + ports[0] + "/up").toURL().openConnection();
      int status = c.getResponseCode(); // no state service is there, so it is not ready
      System.err.println("self-check: /up answered " + status);
      return status == 503;
    } finally {
      shell.stop();
    }
  }

  private SelfCheck() {}
}
