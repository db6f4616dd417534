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
  public record HostName(String value) implements Comparable<HostName> {
    @Override
    public int compareTo(HostName o) {
      return value.compareTo(o.value);
    }

    @Override
    public String toString() {
      return value;
    }
  }

  /** A controller's label. */
  public record NodeLabel(String value) implements Comparable<NodeLabel> {
    @Override
    public int compareTo(NodeLabel o) {
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
  public record PartId(int value) implements Comparable<PartId> {
    /** The same on every controller and in every Java release: String.hashCode is specified. */
    public static PartId of(String team, int parts) {
      return new PartId(Math.floorMod(team.hashCode() * 0x9E3779B1, parts));
    }

    @Override
    public int compareTo(PartId o) {
      return Integer.compare(value, o.value);
    }

    @Override
    public String toString() {
      return Integer.toString(value);
    }
  }

  /** Fleet-wide fencing number; also a machine's term and the token in answers to workers. */
  public record Epoch(long value) implements Comparable<Epoch> {
    public static final Epoch NONE = new Epoch(0);

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

  /** Revision of a key's last change in the state service; 0 means the key does not exist. */
  public record Stamp(long value) {
    public static final Stamp ABSENT = new Stamp(0);

    public boolean after(Stamp o) {
      return value > o.value;
    }

    @Override
    public String toString() {
      return Long.toString(value);
    }
  }

  /** A worker's session. */
  public record Tenure(long value) implements Comparable<Tenure> {
    @Override
    public int compareTo(Tenure o) {
      return Long.compare(value, o.value);
    }
  }

  /** A task's attempt; unique among all attempts of its job. */
  public record Attempt(long value) {}

  /** One attempt of one task. */
  public record TaskRun(JobId job, int index, Attempt attempt) {}

  /** A point on this process's steady clock. */
  public record Mono(long ms) implements Comparable<Mono> {
    public static final Mono NEVER = new Mono(Long.MIN_VALUE / 4);

    public Mono plus(long millis) {
      return new Mono(ms + millis);
    }

    public long since(Mono earlier) {
      return ms - earlier.ms;
    }

    public boolean before(Mono o) {
      return ms < o.ms;
    }

    @Override
    public int compareTo(Mono o) {
      return Long.compare(ms, o.ms);
    }
  }
}
