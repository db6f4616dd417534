package shorecrank.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Words of one line of a scenario file, or of its rest from some word on. Every accessor refuses
 * what it can't read with a {@link ScenarioSyntaxException}.
 */
final class ScenarioLine {
  private static final Pattern WORD = Pattern.compile("\\S+");
  private static final double MS_PER_S = 1000;

  private final String file;
  private final int number;
  private final String source;
  private final String text;
  private final List<String> words = new ArrayList<>();
  private final List<Integer> wordStarts = new ArrayList<>();

  /**
   * A whole line.
   *
   * @param number of the line in its file, from 1
   */
  ScenarioLine(String file, int number, String text) {
    this(file, number, text, text);
  }

  private ScenarioLine(String file, int number, String source, String text) {
    this.file = file;
    this.number = number;
    this.source = source;
    this.text = text;
    Matcher matcher = WORD.matcher(text);
    while (matcher.find()) {
      words.add(matcher.group());
      wordStarts.add(matcher.start());
    }
  }

  /** The rest from a word on, as a line whose first word that is. */
  ScenarioLine from(int index) {
    word(index);
    return withText(text.substring(wordStarts.get(index)));
  }

  /** Another text, such as an action, that stands in this line. */
  ScenarioLine withText(String part) {
    return new ScenarioLine(file, number, source, part.trim());
  }

  /** The line as it stands in the file. */
  String source() {
    return source;
  }

  /** All that stands in it, without the words before. */
  String text() {
    return text;
  }

  /** The text from a word on, spaces as they are. */
  String textFrom(int index) {
    word(index);
    return text.substring(wordStarts.get(index));
  }

  /** Whether there is a word at an index. */
  boolean has(int index) {
    return index < words.size();
  }

  /** The word at an index; the first is at 0. */
  String word(int index) {
    if (!has(index)) {
      throw error("word " + (index + 1) + " is missing in '" + text + "'");
    }
    return words.get(index);
  }

  /** Words that are separated by commas. */
  List<String> list(int index) {
    return Arrays.asList(word(index).split(","));
  }

  /** The word as a whole number. */
  int integer(int index) {
    return parse(word(index), "a whole number", Integer::valueOf);
  }

  /** The word as a whole number that may be large. */
  long longInteger(int index) {
    return parse(word(index), "a whole number", Long::valueOf);
  }

  /** The word as a number. */
  double decimal(int index) {
    return parse(word(index), "a number", Double::valueOf);
  }

  /** A duration or time, which is given in seconds. */
  long milliseconds(int index) {
    return (long) (decimal(index) * MS_PER_S);
  }

  /** A constant of an enum, which is given in lower case. */
  <E extends Enum<E>> E constant(int index, Class<E> type) {
    return parse(
        word(index),
        "one of " + Arrays.toString(type.getEnumConstants()).toLowerCase(Locale.ROOT),
        word -> Enum.valueOf(type, word.toUpperCase(Locale.ROOT)));
  }

  /** The {@code key=value} words from a word on; there may be none. */
  ScenarioOptions options(int from) {
    return new ScenarioOptions(this, words.subList(Math.min(from, words.size()), words.size()));
  }

  /** Reads a word; what the reader can't read is refused as not being what was expected. */
  <T> T parse(String word, String expected, Function<String, T> reader) {
    try {
      return reader.apply(word);
    } catch (IllegalArgumentException e) {
      throw error("'" + word + "' is not " + expected);
    }
  }

  /** To be thrown by who can't read this line. */
  ScenarioSyntaxException error(String reason) {
    return new ScenarioSyntaxException(file, number, reason);
  }
}
