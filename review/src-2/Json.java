import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Reads and writes JSON as maps, lists, strings, numbers, booleans and null. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Object parse(byte[] body) {
    return parse(new String(body, StandardCharsets.UTF_8));
  }

  /** Returns null if the text is not JSON. */
  static Object parse(String text) {
    try {
      Json parser = new Json(text);
      Object value = parser.value();
      parser.space();
      return parser.at == text.length() ? value : null;
    } catch (RuntimeException e) {
      return null;
    }
  }

  static Map<String, Object> object(byte[] body) {
    Object value = parse(body);
    return value instanceof Map<?, ?> ? cast(value) : new LinkedHashMap<>();
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> cast(Object value) {
    return (Map<String, Object>) value;
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Map<String, Object> map, String key) {
    Object value = map.get(key);
    return value instanceof List<?> ? (List<Object>) value : new ArrayList<>();
  }

  static long number(Map<String, Object> map, String key, long otherwise) {
    return map.get(key) instanceof Number n ? n.longValue() : otherwise;
  }

  static double decimal(Map<String, Object> map, String key, double otherwise) {
    return map.get(key) instanceof Number n ? n.doubleValue() : otherwise;
  }

  static String string(Map<String, Object> map, String key) {
    return map.get(key) instanceof String s ? s : "";
  }

  static boolean flag(Map<String, Object> map, String key) {
    return Boolean.TRUE.equals(map.get(key));
  }

  /** An object with the given names and values in turn. */
  static Map<String, Object> of(Object... namesAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      map.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return map;
  }

  static byte[] bytes(Object value) {
    return write(value).getBytes(StandardCharsets.UTF_8);
  }

  static String write(Object value) {
    StringBuilder out = new StringBuilder();
    write(value, out);
    return out.toString();
  }

  private static void write(Object value, StringBuilder out) {
    if (value instanceof Map<?, ?> map) {
      out.append('{');
      String comma = "";
      for (Map.Entry<?, ?> entry : map.entrySet()) {
        out.append(comma);
        write(entry.getKey(), out);
        out.append(':');
        write(entry.getValue(), out);
        comma = ",";
      }
      out.append('}');
    } else if (value instanceof List<?> list) {
      out.append('[');
      String comma = "";
      for (Object item : list) {
        out.append(comma);
        write(item, out);
        comma = ",";
      }
      out.append(']');
    } else if (value instanceof String s) {
      out.append('"');
      for (char c : s.toCharArray()) {
        if (c == '"' || c == '\\') {
          out.append('\\').append(c);
        } else if (c < ' ') {
          out.append(String.format("\\u%04x", (int) c));
        } else {
          out.append(c);
        }
      }
      out.append('"');
    } else {
      out.append(value);
    }
  }

  private void space() {
    while (at < text.length() && Character.isWhitespace(text.charAt(at))) {
      at++;
    }
  }

  private Object value() {
    space();
    char c = text.charAt(at);
    if (c == '{') {
      Map<String, Object> map = new LinkedHashMap<>();
      at++;
      space();
      if (text.charAt(at) == '}') {
        at++;
        return map;
      }
      while (true) {
        space();
        String key = quoted();
        space();
        expect(':');
        map.put(key, value());
        space();
        if (text.charAt(at) == '}') {
          at++;
          return map;
        }
        expect(',');
      }
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      space();
      if (text.charAt(at) == ']') {
        at++;
        return list;
      }
      while (true) {
        list.add(value());
        space();
        if (text.charAt(at) == ']') {
          at++;
          return list;
        }
        expect(',');
      }
    }
    if (c == '"') {
      return quoted();
    }
    int from = at;
    while (at < text.length() && ",]} \n\r\t".indexOf(text.charAt(at)) < 0) {
      at++;
    }
    String word = text.substring(from, at);
    switch (word) {
      case "true":
        return true;
      case "false":
        return false;
      case "null":
        return null;
      default:
        if (word.matches("-?[0-9]{1,18}")) {
          return Long.parseLong(word);
        }
        return Double.parseDouble(word);
    }
  }

  private void expect(char c) {
    if (text.charAt(at++) != c) {
      throw new IllegalArgumentException("expected " + c);
    }
  }

  private String quoted() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (true) {
      char c = text.charAt(at++);
      if (c == '"') {
        return out.toString();
      }
      if (c != '\\') {
        out.append(c);
        continue;
      }
      char escaped = text.charAt(at++);
      switch (escaped) {
        case 'n' -> out.append('\n');
        case 't' -> out.append('\t');
        case 'r' -> out.append('\r');
        case 'b' -> out.append('\b');
        case 'f' -> out.append('\f');
        case 'u' -> {
          out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
          at += 4;
        }
        default -> out.append(escaped);
      }
    }
  }
}
