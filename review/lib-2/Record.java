package standin;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes what was sent, answered and run, with the seconds since the start. */
final class Record implements AutoCloseable {
  private static final long START_NANOS = System.nanoTime();

  private final PrintWriter out;

  Record(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file, StandardCharsets.UTF_8));
  }

  /** Returns the seconds since the start of this program. */
  static double now() {
    return (System.nanoTime() - START_NANOS) / 1e9;
  }

  synchronized void add(String format, Object... values) {
    String text = String.format(Locale.ROOT, format, values);
    out.printf(Locale.ROOT, "%8.3f %s%n", now(), text);
    out.flush();
  }

  /** Adds a line and prints it. */
  void say(String format, Object... values) {
    add(format, values);
    System.out.println(String.format(Locale.ROOT, format, values));
  }

  @Override
  public void close() {
    out.close();
  }
}
