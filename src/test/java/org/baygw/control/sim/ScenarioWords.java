package org.baygw.control.sim;

import java.util.HashMap;
import java.util.Map;

/** Reads options and values from the words of a scenario line. */
final class ScenarioWords {

  static Map<String, String> options(String[] words, int from) {
    Map<String, String> options = new HashMap<>();
    for (int i = from; i < words.length; i++) {
      int eq = words[i].indexOf('=');
      options.put(
          eq < 0 ? words[i] : words[i].substring(0, eq),
          eq < 0 ? "true" : words[i].substring(eq + 1));
    }
    return options;
  }

  static long millis(String seconds) {
    return Math.round(Double.parseDouble(seconds) * 1000);
  }

  static String wordAfter(String[] words, String key, String fallback) {
    for (int i = 0; i + 1 < words.length; i++) {
      if (words[i].equals(key)) {
        return words[i + 1];
      }
    }
    return fallback;
  }

  private ScenarioWords() {}
}
