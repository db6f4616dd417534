package shorecrank.config;

/**
 * The operators' settings. {@link SettingsFile} reads them and defines their names in the file,
 * their ranges and their defaults.
 *
 * @param shards the number of shards among which the teams are divided (setting {@code parts})
 * @param leaseMs the duration of a shard owner's lease
 * @param heartbeatIntervalMs the time between two heartbeats of a controller to the leader (setting
 *     {@code renew_ms})
 * @param leaderTtlMs how long the state service keeps the leader's key if the leader does not renew
 *     it
 * @param graceMs how long after the expiry of its own lease a shard owner may still renew the
 *     leases of workers
 * @param stateAnswerValidMs how long after its last answer the state service still counts as
 *     reachable (setting {@code state_fresh_ms})
 * @param placementSampleSize the number of machines that are drawn at random and compared for a
 *     placement; all machines are compared only if none of these fits (setting {@code sample_size})
 * @param roundMs the pause between two scheduling rounds
 * @param roundBudgetMs the time after which a scheduling round stops; the next round continues with
 *     the job at which it stopped
 * @param completionDelayMs how long the completion of a task may wait before it is written, so that
 *     it is written together with other changes of its job (setting {@code merge_ms})
 * @param replyDeferralMs how long the reply to a worker's heartbeat may be deferred until a
 *     placement on capacity freed by the heartbeat is committed (setting {@code park_ms})
 * @param peakDemandWindowS the length of the period, in seconds, whose peak demand determines how
 *     many machines are kept (setting {@code idle_return_s})
 * @param queueClearingS the time, in seconds, within which the rented machines should be able to
 *     finish the queued tasks (setting {@code clear_s})
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
