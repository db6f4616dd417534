package shorecrank.protocol;

/**
 * Value types for ids, versions and times. Each has its own type, so that none can be passed where
 * another is expected.
 */
public final class Ids {
  private Ids() {}

  /** A job's id, chosen by its user. */
  public record JobId(String value) implements Comparable<JobId> {
    @Override
    public int compareTo(JobId other) {
      return value.compareTo(other.value);
    }

    @Override
    public String toString() {
      return value;
    }
  }

  /** A machine's name in the cloud. */
  public record MachineName(String value) implements Comparable<MachineName> {
    @Override
    public int compareTo(MachineName other) {
      return value.compareTo(other.value);
    }

    @Override
    public String toString() {
      return value;
    }
  }

  /** A controller's name in the configuration. */
  public record ControllerName(String value) implements Comparable<ControllerName> {
    @Override
    public int compareTo(ControllerName other) {
      return value.compareTo(other.value);
    }

    @Override
    public String toString() {
      return value;
    }
  }

  /** Identifies one process of a controller; a restarted controller has a new id. */
  public record WriterId(String value) {
    /** Stands for no process. */
    public static final WriterId NONE = new WriterId("");

    @Override
    public String toString() {
      return value;
    }
  }

  /**
   * The number of a shard. Shards partition the teams, and one controller at a time owns a shard.
   */
  public record ShardId(int value) implements Comparable<ShardId> {
    // Spreads the hashes of similar team names over the shards: 2^32 divided by the golden ratio.
    private static final int HASH_FACTOR = 0x9E3779B1;

    /**
     * Returns the shard of a team. The result is the same on every controller and in every Java
     * release, because {@link String#hashCode} is specified.
     *
     * @param shards the number of shards
     */
    public static ShardId of(String team, int shards) {
      return new ShardId(Math.floorMod(team.hashCode() * HASH_FACTOR, shards));
    }

    @Override
    public int compareTo(ShardId other) {
      return Integer.compare(value, other.value);
    }

    @Override
    public String toString() {
      return Integer.toString(value);
    }
  }

  /**
   * A fencing number that increases across the fleet with every new shard owner. Workers and stored
   * records refuse commands and writes under an epoch below one that they have seen.
   */
  public record Epoch(long value) implements Comparable<Epoch> {
    /** Stands for no epoch; all others are above it. */
    public static final Epoch NONE = new Epoch(0);

    /** Returns the higher of two epochs. */
    public static Epoch higher(Epoch one, Epoch other) {
      return one.isAbove(other) ? one : other;
    }

    /** Reports whether this epoch is higher than another. */
    public boolean isAbove(Epoch other) {
      return value > other.value;
    }

    @Override
    public int compareTo(Epoch other) {
      return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
      return Long.toString(value);
    }
  }

  /**
   * The fencing token that commands to a worker carry. Its high bits are the owner's epoch, its low
   * bits a number that the owner counts up for each machine, so a token of a higher epoch is higher
   * whatever the numbers. A worker rejects commands with a token below the highest that it has
   * seen.
   */
  public record FencingToken(long value) implements Comparable<FencingToken> {
    /** Number of low bits of a token, which hold the number that the owner counts up. */
    private static final int NUMBER_BITS = 24;

    /**
     * Number of bits that a token may use, so that it is never negative as a signed 64-bit integer.
     */
    private static final int TOKEN_BITS = 62;

    /** Upper bound of epochs: this epoch and higher ones do not fit into a token. */
    public static final long MAX_EPOCH = 1L << (TOKEN_BITS - NUMBER_BITS);

    /** Stands for no token; all others are above it. */
    public static final FencingToken NONE = new FencingToken(0);

    /** Returns the lowest token of an epoch. */
    public static FencingToken of(Epoch epoch) {
      return new FencingToken(epoch.value() << NUMBER_BITS);
    }

    /** Returns the epoch that the token belongs to. */
    public Epoch epoch() {
      return new Epoch(value >>> NUMBER_BITS);
    }

    /**
     * Returns the token with the next number; it belongs to the same epoch unless this token
     * {@linkplain #isLast is the last}.
     */
    public FencingToken next() {
      return new FencingToken(value + 1);
    }

    /** Reports whether this token is the highest of its epoch. */
    public boolean isLast() {
      return !next().epoch().equals(epoch());
    }

    /** Reports whether this token is higher than another. */
    public boolean isAbove(FencingToken other) {
      return value > other.value;
    }

    @Override
    public int compareTo(FencingToken other) {
      return Long.compare(value, other.value);
    }
  }

  /**
   * The revision at which a key in the state service was last changed; 0 if the key does not exist.
   */
  public record Revision(long value) {
    /** The revision of a key that does not exist. */
    public static final Revision ABSENT = new Revision(0);

    /** Reports whether this revision is later than another. */
    public boolean isAfter(Revision other) {
      return value > other.value;
    }

    @Override
    public String toString() {
      return Long.toString(value);
    }
  }

  /**
   * The id of a move of one machine to another shard. No two moves of a fleet have the same id, so
   * that a late answer to an earlier move is not taken for the answer to a later one.
   */
  public record MoveId(long value) implements Comparable<MoveId> {
    /** Stands for no move. */
    public static final MoveId NONE = new MoveId(0);

    /** Reports whether this is the id of a move. */
    public boolean isSet() {
      return value > 0;
    }

    @Override
    public int compareTo(MoveId other) {
      return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
      return Long.toString(value);
    }
  }

  /** The number of a worker's incarnation; a new one begins when the worker's lease has expired. */
  public record Incarnation(long value) implements Comparable<Incarnation> {
    @Override
    public int compareTo(Incarnation other) {
      return Long.compare(value, other.value);
    }
  }

  /** The number of a task's attempt, unique among all attempts of the job's tasks. */
  public record AttemptNumber(long value) {}

  /**
   * Identifies one attempt of a task.
   *
   * @param index the task's number in its job
   */
  public record TaskAttemptId(JobId job, int index, AttemptNumber attempt) {}

  /** A reading of this process's monotonic clock in milliseconds. */
  public record MonotonicTime(long ms) implements Comparable<MonotonicTime> {
    /**
     * Stands for no time. It is earlier than all others, and adding or subtracting a duration does
     * not overflow a long.
     */
    public static final MonotonicTime NEVER = new MonotonicTime(Long.MIN_VALUE / 4);

    /** Returns the time {@code millis} milliseconds later, or earlier if negative. */
    public MonotonicTime plus(long millis) {
      return new MonotonicTime(ms + millis);
    }

    /** Returns the milliseconds from an earlier time to this one. */
    public long since(MonotonicTime earlier) {
      return ms - earlier.ms;
    }

    /** Reports whether this time is earlier than another. */
    public boolean isBefore(MonotonicTime other) {
      return ms < other.ms;
    }

    @Override
    public int compareTo(MonotonicTime other) {
      return Long.compare(ms, other.ms);
    }
  }
}
