package shorecrank.protocol;

/** Small types for ids, versions and times, so that none can be passed where another is meant. */
public final class Ids {
  private Ids() {}

  /** A user's job id. */
  public record JobId(String value) implements Comparable<JobId> {
    @Override
    public int compareTo(JobId o) {
      return value.compareTo(o.value);
    }

    @Override
    public String toString() {
      return value;
    }
  }

  /** A machine's name. */
  public record MachineName(String value) implements Comparable<MachineName> {
    @Override
    public int compareTo(MachineName o) {
      return value.compareTo(o.value);
    }

    @Override
    public String toString() {
      return value;
    }
  }

  /** A controller's label. */
  public record ControllerName(String value) implements Comparable<ControllerName> {
    @Override
    public int compareTo(ControllerName o) {
      return value.compareTo(o.value);
    }

    @Override
    public String toString() {
      return value;
    }
  }

  /** Names one process; a restarted controller has another one. */
  public record WriterId(String value) {
    public static final WriterId NONE = new WriterId("");

    @Override
    public String toString() {
      return value;
    }
  }

  /** A share of the teams, served by one owner at a time. */
  public record ShardId(int value) implements Comparable<ShardId> {
    /** The same on every controller and in every Java release: String.hashCode is specified. */
    public static ShardId of(String team, int shards) {
      return new ShardId(Math.floorMod(team.hashCode() * 0x9E3779B1, shards));
    }

    @Override
    public int compareTo(ShardId o) {
      return Integer.compare(value, o.value);
    }

    @Override
    public String toString() {
      return Integer.toString(value);
    }
  }

  /** Fleet-wide fencing number; also a machine's term. */
  public record Epoch(long value) implements Comparable<Epoch> {
    public static final Epoch NONE = new Epoch(0);

    /** The higher of two. */
    public static Epoch higher(Epoch one, Epoch other) {
      return one.above(other) ? one : other;
    }

    public boolean above(Epoch o) {
      return value > o.value;
    }

    @Override
    public int compareTo(Epoch o) {
      return Long.compare(value, o.value);
    }

    @Override
    public String toString() {
      return Long.toString(value);
    }
  }

  /**
   * What a worker is shown: the owner's epoch, and under it a number of the owner's own for each
   * machine. Whoever holds a higher epoch has the higher token, whatever the numbers.
   */
  public record FencingToken(long value) implements Comparable<FencingToken> {
    private static final int BITS = 24;

    /** Epochs from here on have no tokens. */
    public static final long MAX_EPOCH = 1L << (62 - BITS);

    public static final FencingToken NONE = new FencingToken(0);

    public static FencingToken of(Epoch e) {
      return new FencingToken(e.value() << BITS);
    }

    public Epoch epoch() {
      return new Epoch(value >>> BITS);
    }

    /** The next number under the same epoch; none is left after the last. */
    public FencingToken next() {
      return new FencingToken(value + 1);
    }

    public boolean isLast() {
      return !next().epoch().equals(epoch());
    }

    public boolean above(FencingToken o) {
      return value > o.value;
    }

    @Override
    public int compareTo(FencingToken o) {
      return Long.compare(value, o.value);
    }
  }

  /** Revision of a key's last change in the state service; 0 means the key does not exist. */
  public record Revision(long value) {
    public static final Revision ABSENT = new Revision(0);

    public boolean after(Revision o) {
      return value > o.value;
    }

    @Override
    public String toString() {
      return Long.toString(value);
    }
  }

  /**
   * Names one order to hand a machine over to another shard. No two orders of a fleet have the same
   * id, so that an answer to an earlier one is never taken for an answer to this one.
   */
  public record MoveId(long value) implements Comparable<MoveId> {
    /** No order. */
    public static final MoveId NONE = new MoveId(0);

    /** Whether it names an order. */
    public boolean isSet() {
      return value > 0;
    }

    @Override
    public int compareTo(MoveId o) {
      return Long.compare(value, o.value);
    }

    @Override
    public String toString() {
      return Long.toString(value);
    }
  }

  /** A worker's session. */
  public record Incarnation(long value) implements Comparable<Incarnation> {
    @Override
    public int compareTo(Incarnation o) {
      return Long.compare(value, o.value);
    }
  }

  /** A task's attempt; unique among all attempts of its job. */
  public record AttemptNumber(long value) {}

  /** One attempt of one task. */
  public record TaskAttemptId(JobId job, int index, AttemptNumber attempt) {}

  /** A point on this process's steady clock. */
  public record MonotonicTime(long ms) implements Comparable<MonotonicTime> {
    public static final MonotonicTime NEVER = new MonotonicTime(Long.MIN_VALUE / 4);

    public MonotonicTime plus(long millis) {
      return new MonotonicTime(ms + millis);
    }

    public long since(MonotonicTime earlier) {
      return ms - earlier.ms;
    }

    public boolean before(MonotonicTime o) {
      return ms < o.ms;
    }

    @Override
    public int compareTo(MonotonicTime o) {
      return Long.compare(ms, o.ms);
    }
  }
}
