package shorecrank.config;

/**
 * The operators' settings; {@link SettingsFile} reads them and defines ranges and defaults.
 *
 * @param shards the number of shards that teams are divided into
 * @param leaseMs how long a shard's lease lasts
 * @param heartbeatIntervalMs how often a controller sends a heartbeat to the leader
 * @param leaderTtlMs how long the leader's key lasts in the state service without a renewal
 * @param graceMs how long an owner may renew workers' leases after its own has expired
 * @param stateAnswerValidMs how long without an answer until the state service counts as
 *     unreachable
 * @param placementSampleSize machines considered for a placement before all are
 * @param roundMs pause between scheduling rounds
 * @param roundBudgetMs time that a round may take; the next one goes on where it stopped
 * @param completionDelayMs how long completions of tasks wait to be written with other changes of
 *     their job
 * @param replyDeferralMs how long the reply to a heartbeat that frees capacity is deferred to the
 *     next commit
 * @param peakDemandWindowS the period whose peak need for machines decides how many are kept
 * @param queueClearingS machines are rented to finish the waiting work within about this time
 */
public record Settings(
    int shards,
    int leaseMs,
    int heartbeatIntervalMs,
    int leaderTtlMs,
    int graceMs,
    int stateAnswerValidMs,
    int placementSampleSize,
    int roundMs,
    int roundBudgetMs,
    int completionDelayMs,
    int replyDeferralMs,
    int peakDemandWindowS,
    double queueClearingS) {}
