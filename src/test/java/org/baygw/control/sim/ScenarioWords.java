package org.baygw.control.sim;

import java.util.HashMap;
import java.util.Map;

/** The words of a line of a scenario. */
final class ScenarioWords {

  static Map<String, String> options(String[] w, int from) {
    Map<String, String> out = new HashMap<>();
    for (int i = from; i < w.length; i++) {
      int eq = w[i].indexOf('=');
      out.put(eq < 0 ? w[i] : w[i].substring(0, eq), eq < 0 ? "true" : w[i].substring(eq + 1));
    }
    return out;
  }

  static long seconds(String s) {
    return Math.round(Double.parseDouble(s) * 1000);
  }

  static String word(String[] w, String after, String otherwise) {
    for (int i = 0; i + 1 < w.length; i++) {
      if (w[i].equals(after)) {
        return w[i + 1];
      }
    }
    return otherwise;
  }

  private ScenarioWords() {}
}
