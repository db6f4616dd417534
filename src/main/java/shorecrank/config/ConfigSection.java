package shorecrank.config;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.config.NodeConfig.Address;

/**
 * An object of the platform's JSON file with the path that leads to it, so that a failure names the
 * whole path of a field.
 *
 * @param json the object, or a missing node if the file does not have it
 * @param path of the object, with a dot behind it; empty for the file itself
 */
record ConfigSection(JsonNode json, String path) {
  private static final int MAX_PORT = 65535;

  /** A part of this object; nothing is set in it if the file does not have it. */
  ConfigSection section(String field) {
    return new ConfigSection(json.path(field), path + field + ".");
  }

  /** Text that has to be there. */
  String text(String field) throws InvalidConfigException {
    JsonNode value = json.path(field);
    if (!value.isTextual() || value.textValue().isBlank()) {
      throw new InvalidConfigException(path + field, "must be a non-empty text");
    }
    return value.textValue();
  }

  /** Text that may be missing; then it is empty. */
  String optionalText(String field) {
    return json.path(field).asText("");
  }

  /** An address that has to be there. */
  Address address(String field) throws InvalidConfigException {
    String text = text(field);
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port >= 1 && port <= MAX_PORT) {
        return new Address(text.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      // Reported below, like a port out of range.
    }
    throw new InvalidConfigException(
        path + field, "must be IP:PORT with a port from 1 to " + MAX_PORT);
  }

  /** A number within a range, both ends included; {@code defaultValue} if it is missing or null. */
  double number(String field, double min, double max, double defaultValue)
      throws InvalidConfigException {
    JsonNode value = json.path(field);
    if (value.isMissingNode() || value.isNull()) {
      return defaultValue;
    }
    double number = value.isNumber() ? value.doubleValue() : Double.NaN;
    if (!(number >= min && number <= max)) {
      throw new InvalidConfigException(path + field, "must be a number from " + min + " to " + max);
    }
    return number;
  }

  /** The same for a whole number; a fraction is cut off. */
  int wholeNumber(String field, double min, double max, int defaultValue)
      throws InvalidConfigException {
    return (int) number(field, min, max, defaultValue);
  }
}
