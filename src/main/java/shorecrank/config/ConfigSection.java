package shorecrank.config;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.config.NodeConfig.Address;

/**
 * A JSON object of the platform's configuration file. It is kept with its path in the file, so that
 * errors name the full path of a field.
 *
 * @param json the object, or a missing node if it is absent from the file
 * @param path the object's path with a dot at the end, such as {@code settings.workers.}; empty for
 *     the top-level object
 */
record ConfigSection(JsonNode json, String path) {
  private static final int MAX_PORT = 65535;

  /** Returns the object in a field; if the field is absent, all fields of the result are absent. */
  ConfigSection section(String field) {
    return new ConfigSection(json.path(field), path + field + ".");
  }

  /** Returns the string in a required field. */
  String text(String field) throws InvalidConfigException {
    JsonNode value = json.path(field);
    if (!value.isTextual() || value.textValue().isBlank()) {
      throw new InvalidConfigException(path + field, "must be a non-empty text");
    }
    return value.textValue();
  }

  /** Returns the string in an optional field; empty if the field is absent. */
  String optionalText(String field) {
    return json.path(field).asText("");
  }

  /** Returns the address in a required field. */
  Address address(String field) throws InvalidConfigException {
    String text = text(field);
    int colon = text.lastIndexOf(':');
    try {
      int port = Integer.parseInt(text.substring(colon + 1));
      if (colon > 0 && port >= 1 && port <= MAX_PORT) {
        return new Address(text.substring(0, colon), port);
      }
    } catch (NumberFormatException e) {
      // A port that is not a number is reported like a port out of range, by the exception below.
    }
    throw new InvalidConfigException(
        path + field, "must be IP:PORT with a port from 1 to " + MAX_PORT);
  }

  /**
   * Returns the number in an optional field.
   *
   * @param min the lowest number allowed
   * @param max the highest number allowed
   * @param defaultValue the result if the field is absent or null
   */
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

  /**
   * Returns the number in an optional field, rounded down to an integer. The parameters are those
   * of {@link #number}.
   */
  int wholeNumber(String field, double min, double max, int defaultValue)
      throws InvalidConfigException {
    return (int) number(field, min, max, defaultValue);
  }
}
