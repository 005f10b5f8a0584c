package org.baygw.control.core;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.MissingNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.io.CountingOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.util.Iterator;
import java.util.Map;

/**
 * Reads and writes JSON trees with Jackson's streaming API. ObjectMapper is not used, because
 * creating one takes a fifth of a controller's start-up time.
 */
public final class Json {
  private static final int MAX_DEPTH = 64;
  private static final int INITIAL_BUFFER_BYTES = 512;
  private static final JsonNodeFactory NODES = JsonNodeFactory.instance;
  private static final JsonFactory LENIENT = factory(false);
  private static final JsonFactory STRICT = factory(true);

  private static JsonFactory factory(boolean strict) {
    // Field names are not interned: most are names of machines and jobs, and each would cost a
    // look-up in a JVM table that grows without bound.
    return JsonFactory.builder()
        .streamReadConstraints(StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build())
        .configure(JsonFactory.Feature.INTERN_FIELD_NAMES, false)
        .configure(StreamReadFeature.STRICT_DUPLICATE_DETECTION, strict)
        .build();
  }

  /** Returns the parsed body, or a missing node if it is not valid JSON. */
  public static JsonNode parse(byte[] body) {
    return parse(LENIENT, body);
  }

  /**
   * Parses a request from a user or an operator: like {@link #parse(byte[])}, but an object with a
   * duplicate name is invalid as well. The check needs a set for each object, so workers' reports
   * and answers of the state service are parsed without it.
   */
  public static JsonNode parseStrict(byte[] body) {
    return parse(STRICT, body);
  }

  private static JsonNode parse(JsonFactory factory, byte[] body) {
    try (JsonParser parser = factory.createParser(body)) {
      return read(parser);
    } catch (IOException e) {
      return MissingNode.getInstance();
    }
  }

  /** Reads the parser's only value; a missing node if there is none or more than one. */
  public static JsonNode read(JsonParser parser) throws IOException {
    if (parser.nextToken() == null) {
      return MissingNode.getInstance();
    }
    JsonNode node = value(parser);
    return parser.nextToken() == null ? node : MissingNode.getInstance();
  }

  /** The value that begins at the parser's token; the parser rejects nesting beyond MAX_DEPTH. */
  private static JsonNode value(JsonParser parser) throws IOException {
    return switch (parser.currentToken()) {
      case START_OBJECT -> object(parser);
      case START_ARRAY -> array(parser);
      case VALUE_STRING -> NODES.textNode(parser.getText());
      case VALUE_NUMBER_INT -> integer(parser);
      case VALUE_NUMBER_FLOAT -> NODES.numberNode(parser.getDoubleValue());
      case VALUE_TRUE -> NODES.booleanNode(true);
      case VALUE_FALSE -> NODES.booleanNode(false);
      case VALUE_NULL -> NODES.nullNode();
      default -> NODES.textNode(parser.getText());
    };
  }

  private static JsonNode integer(JsonParser parser) throws IOException {
    return switch (parser.getNumberType()) {
      case INT -> NODES.numberNode(parser.getIntValue());
      case LONG -> NODES.numberNode(parser.getLongValue());
      default -> NODES.numberNode(parser.getBigIntegerValue());
    };
  }

  private static ObjectNode object(JsonParser parser) throws IOException {
    ObjectNode node = NODES.objectNode();
    while (parser.nextToken() != JsonToken.END_OBJECT) {
      String name = parser.currentName();
      parser.nextToken();
      node.set(name, value(parser));
    }
    return node;
  }

  private static ArrayNode array(JsonParser parser) throws IOException {
    ArrayNode node = NODES.arrayNode();
    while (parser.nextToken() != JsonToken.END_ARRAY) {
      node.add(value(parser));
    }
    return node;
  }

  /** Writes the tree as UTF-8 text. */
  public static byte[] bytes(JsonNode node) {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    try (JsonGenerator generator = LENIENT.createGenerator(bytes)) {
      write(node, generator);
    } catch (IOException e) {
      throw new IllegalStateException("writing JSON to a byte array failed", e);
    }
    return bytes.toByteArray();
  }

  /** The number of bytes that {@link #bytes} returns for the tree. */
  public static int size(JsonNode node) {
    CountingOutputStream counter = new CountingOutputStream(OutputStream.nullOutputStream());
    try (JsonGenerator generator = LENIENT.createGenerator(counter)) {
      write(node, generator);
    } catch (IOException e) {
      throw new IllegalStateException("counting the bytes of JSON failed", e);
    }
    return (int) counter.getCount();
  }

  private static void write(JsonNode node, JsonGenerator generator) throws IOException {
    switch (node.getNodeType()) {
      case OBJECT -> {
        generator.writeStartObject();
        for (Iterator<Map.Entry<String, JsonNode>> it = node.fields(); it.hasNext(); ) {
          Map.Entry<String, JsonNode> field = it.next();
          generator.writeFieldName(field.getKey());
          write(field.getValue(), generator);
        }
        generator.writeEndObject();
      }
      case ARRAY -> {
        generator.writeStartArray();
        for (JsonNode element : node) {
          write(element, generator);
        }
        generator.writeEndArray();
      }
      case STRING -> generator.writeString(node.textValue());
      case NUMBER -> writeNumber(node, generator);
      case BOOLEAN -> generator.writeBoolean(node.booleanValue());
      default -> generator.writeNull();
    }
  }

  private static void writeNumber(JsonNode node, JsonGenerator generator) throws IOException {
    switch (node.numberType()) {
      case INT -> generator.writeNumber(node.intValue());
      case LONG -> generator.writeNumber(node.longValue());
      case BIG_INTEGER -> generator.writeNumber(node.bigIntegerValue());
      default -> generator.writeNumber(node.doubleValue());
    }
  }

  public static ObjectNode object() {
    return NODES.objectNode();
  }

  public static ArrayNode array() {
    return NODES.arrayNode();
  }

  private Json() {}
}
