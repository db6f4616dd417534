package shorecrank.sim;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.function.Function;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * The words of a scenario line, or of a part of it. Every accessor throws {@link
 * ScenarioSyntaxException} if the word is missing or can't be parsed.
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
   * Creates a whole line.
   *
   * @param file the name of the scenario, for error messages
   * @param number the number of the line in its file, from 1
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

  /** Returns the part of the line that begins with a word; that word has index 0 in the part. */
  ScenarioLine from(int index) {
    word(index);
    return withText(text.substring(wordStarts.get(index)));
  }

  /**
   * Returns a line with another text, such as an action, that keeps the position of this line for
   * error messages.
   */
  ScenarioLine withText(String part) {
    return new ScenarioLine(file, number, source, part.trim());
  }

  /** Returns the whole line as it is in the file. */
  String source() {
    return source;
  }

  /** Returns the text of this line or part of a line. */
  String text() {
    return text;
  }

  /** Returns the text from a word on, with its spaces unchanged. */
  String textFrom(int index) {
    word(index);
    return text.substring(wordStarts.get(index));
  }

  /** Reports whether there is a word at the index. */
  boolean has(int index) {
    return index < words.size();
  }

  /** Returns the word at the index; the first word has index 0. */
  String word(int index) {
    if (!has(index)) {
      throw error("word " + (index + 1) + " is missing in '" + text + "'");
    }
    return words.get(index);
  }

  /** Returns the items of a word that are separated by commas. */
  List<String> list(int index) {
    return Arrays.asList(word(index).split(","));
  }

  /** Returns the word as an {@code int}. */
  int integer(int index) {
    return parse(word(index), "a whole number", Integer::valueOf);
  }

  /** Returns the word as a {@code long}. */
  long longInteger(int index) {
    return parse(word(index), "a whole number", Long::valueOf);
  }

  /** Returns the word as a decimal number. */
  double decimal(int index) {
    return parse(word(index), "a number", Double::valueOf);
  }

  /** Returns the word, a time or duration in seconds, in milliseconds. */
  long milliseconds(int index) {
    return (long) (decimal(index) * MS_PER_S);
  }

  /** Returns the word, a lower-case name, as a constant of the enum. */
  <E extends Enum<E>> E constant(int index, Class<E> type) {
    return parse(
        word(index),
        "one of " + Arrays.toString(type.getEnumConstants()).toLowerCase(Locale.ROOT),
        word -> Enum.valueOf(type, word.toUpperCase(Locale.ROOT)));
  }

  /** Returns the {@code key=value} words from a word on; there may be none. */
  ScenarioOptions options(int from) {
    return new ScenarioOptions(this, words.subList(Math.min(from, words.size()), words.size()));
  }

  /**
   * Parses a word.
   *
   * @param expected what the word should be, for the error message
   * @throws ScenarioSyntaxException if the reader throws {@link IllegalArgumentException}
   */
  <T> T parse(String word, String expected, Function<String, T> reader) {
    try {
      return reader.apply(word);
    } catch (IllegalArgumentException e) {
      throw error("'" + word + "' is not " + expected);
    }
  }

  /** Returns an exception that names this line; the caller throws it. */
  ScenarioSyntaxException error(String reason) {
    return new ScenarioSyntaxException(file, number, reason);
  }
}
