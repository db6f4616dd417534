package shorecrank.protocol;

/** Small types for ids, versions and times, so that none can be passed where another is meant. */
public final class Ids {
  private Ids() {}

  /** A job's id, which its user chooses. */
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

  /** A machine's name. */
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

  /** Names one process of a controller; a restarted controller has another one. */
  public record WriterId(String value) {
    /** No process. */
    public static final WriterId NONE = new WriterId("");

    @Override
    public String toString() {
      return value;
    }
  }

  /** A partition of the teams, served by one owner at a time. */
  public record ShardId(int value) implements Comparable<ShardId> {
    // Spreads hashes of similar names: the golden ratio in 32 bits.
    private static final int HASH_FACTOR = 0x9E3779B1;

    /**
     * The shard of a team. It is the same on every controller and in every Java release:
     * String.hashCode is specified.
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

  /** A fencing number that rises fleet-wide with every shard owner; also a machine's term. */
  public record Epoch(long value) implements Comparable<Epoch> {
    /** No epoch; all others are above it. */
    public static final Epoch NONE = new Epoch(0);

    /** The higher of two. */
    public static Epoch higher(Epoch one, Epoch other) {
      return one.isAbove(other) ? one : other;
    }

    /** Whether this epoch is higher than the other. */
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
   * What a worker is shown with commands: the owner's epoch, and below it a number that the owner
   * keeps for each machine. A higher epoch makes the higher token, whatever the numbers.
   */
  public record FencingToken(long value) implements Comparable<FencingToken> {
    /** Bits of the number below the epoch. */
    private static final int NUMBER_BITS = 24;

    /** Bits that a token may use: as a signed number it is never negative. */
    private static final int TOKEN_BITS = 62;

    /** Epochs from here on have no tokens. */
    public static final long MAX_EPOCH = 1L << (TOKEN_BITS - NUMBER_BITS);

    /** No token; all others are above it. */
    public static final FencingToken NONE = new FencingToken(0);

    /** The lowest token of an epoch. */
    public static FencingToken of(Epoch epoch) {
      return new FencingToken(epoch.value() << NUMBER_BITS);
    }

    /** The epoch that the token belongs to. */
    public Epoch epoch() {
      return new Epoch(value >>> NUMBER_BITS);
    }

    /** The next number under the same epoch; none is left after the last. */
    public FencingToken next() {
      return new FencingToken(value + 1);
    }

    /** Whether no other token follows under the same epoch. */
    public boolean isLast() {
      return !next().epoch().equals(epoch());
    }

    /** Whether this token is higher than the other. */
    public boolean isAbove(FencingToken other) {
      return value > other.value;
    }

    @Override
    public int compareTo(FencingToken other) {
      return Long.compare(value, other.value);
    }
  }

  /** Revision of a key's last change in the state service; 0 means the key does not exist. */
  public record Revision(long value) {
    /** The revision of a key that does not exist. */
    public static final Revision ABSENT = new Revision(0);

    /** Whether this revision is later than the other. */
    public boolean isAfter(Revision other) {
      return value > other.value;
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
    public int compareTo(MoveId other) {
      return Long.compare(value, other.value);
    }

    @Override
    public String toString() {
      return Long.toString(value);
    }
  }

  /** Numbers the incarnations of a worker; a new one begins when its lease has expired. */
  public record Incarnation(long value) implements Comparable<Incarnation> {
    @Override
    public int compareTo(Incarnation other) {
      return Long.compare(value, other.value);
    }
  }

  /** Numbers a task's attempt; unique among all attempts of its job. */
  public record AttemptNumber(long value) {}

  /** One attempt of one task of a job. */
  public record TaskAttemptId(JobId job, int index, AttemptNumber attempt) {}

  /** A point on this process's steady clock, in milliseconds. */
  public record MonotonicTime(long ms) implements Comparable<MonotonicTime> {
    /** Earlier than all others, and far enough from the ends of a long to be counted with. */
    public static final MonotonicTime NEVER = new MonotonicTime(Long.MIN_VALUE / 4);

    /** So many milliseconds later; earlier if negative. */
    public MonotonicTime plus(long millis) {
      return new MonotonicTime(ms + millis);
    }

    /** Milliseconds from an earlier point to this one. */
    public long since(MonotonicTime earlier) {
      return ms - earlier.ms;
    }

    /** Whether this point is earlier than the other. */
    public boolean isBefore(MonotonicTime other) {
      return ms < other.ms;
    }

    @Override
    public int compareTo(MonotonicTime other) {
      return Long.compare(ms, other.ms);
    }
  }
}
