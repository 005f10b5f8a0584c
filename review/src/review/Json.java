package review;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** A small JSON reader and writer: objects are maps, arrays are lists, integers are longs. */
final class Json {
  private final String text;
  private int at;

  private Json(String text) {
    this.text = text;
  }

  static Map<String, Object> object(Object... namesAndValues) {
    Map<String, Object> map = new LinkedHashMap<>();
    for (int i = 0; i < namesAndValues.length; i += 2) {
      map.put((String) namesAndValues[i], namesAndValues[i + 1]);
    }
    return map;
  }

  /** Returns null if the text is not JSON. */
  static Object parse(byte[] body) {
    try {
      Json json = new Json(new String(body, StandardCharsets.UTF_8));
      Object value = json.value();
      json.space();
      return json.at == json.text.length() ? value : null;
    } catch (RuntimeException e) {
      return null;
    }
  }

  @SuppressWarnings("unchecked")
  static Map<String, Object> map(Object value) {
    return value instanceof Map ? (Map<String, Object>) value : Map.of();
  }

  @SuppressWarnings("unchecked")
  static List<Object> list(Object value) {
    return value instanceof List ? (List<Object>) value : List.of();
  }

  static long number(Object value) {
    return value instanceof Number n ? n.longValue() : 0;
  }

  static double decimal(Object value) {
    return value instanceof Number n ? n.doubleValue() : 0;
  }

  private void space() {
    while (at < text.length() && text.charAt(at) <= ' ') {
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
      while (text.charAt(at) != '}') {
        space();
        String name = string();
        space();
        expect(':');
        map.put(name, value());
        space();
        if (text.charAt(at) == ',') {
          at++;
          space();
        }
      }
      at++;
      return map;
    }
    if (c == '[') {
      List<Object> list = new ArrayList<>();
      at++;
      space();
      while (text.charAt(at) != ']') {
        list.add(value());
        space();
        if (text.charAt(at) == ',') {
          at++;
          space();
        }
      }
      at++;
      return list;
    }
    if (c == '"') {
      return string();
    }
    for (Object word : new Object[] {true, false, "null"}) {
      if (text.startsWith(word.toString(), at)) {
        at += word.toString().length();
        return word.equals("null") ? null : word;
      }
    }
    int start = at;
    while (at < text.length() && "+-0123456789.eE".indexOf(text.charAt(at)) >= 0) {
      at++;
    }
    String number = text.substring(start, at);
    if (number.matches("-?[0-9]+")) {
      return Long.parseLong(number);
    }
    return Double.parseDouble(number);
  }

  private void expect(char c) {
    if (text.charAt(at) != c) {
      throw new IllegalArgumentException("expected " + c);
    }
    at++;
  }

  private String string() {
    expect('"');
    StringBuilder out = new StringBuilder();
    while (text.charAt(at) != '"') {
      char c = text.charAt(at++);
      if (c == '\\') {
        c = text.charAt(at++);
        switch (c) {
          case 'n' -> out.append('\n');
          case 't' -> out.append('\t');
          case 'r' -> out.append('\r');
          case 'b' -> out.append('\b');
          case 'f' -> out.append('\f');
          case 'u' -> {
            out.append((char) Integer.parseInt(text.substring(at, at + 4), 16));
            at += 4;
          }
          default -> out.append(c);
        }
      } else {
        out.append(c);
      }
    }
    at++;
    return out.toString();
  }

  static byte[] bytes(Object value) {
    return text(value).getBytes(StandardCharsets.UTF_8);
  }

  static String text(Object value) {
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
      for (int i = 0; i < s.length(); i++) {
        char c = s.charAt(i);
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
}
