package shorecrank.config;

/** The operators' own settings; {@link SettingsFile} reads them and knows ranges and defaults. */
public record Settings(
    int shards,
    int leaseMs,
    int renewMs,
    int leaderTtlMs,
    int graceMs,
    int stateFreshMs,
    int sampleSize,
    int roundMs,
    int roundBudgetMs,
    int mergeMs,
    int parkMs,
    int idleReturnS,
    double clearS) {}
