package shorecrank.sim;

import java.util.OptionalLong;

/**
 * Checks the protocol's rule {@code ran_cancelled}: once {@code cancel_s} has passed since a user
 * was told that a job is cancelled, none of its tasks is on a machine or starts.
 */
final class CancellationRule extends Rule {
  private static final double MS_PER_S = 1000;
  private static final long CHECK_EVERY_MS = 500;

  CancellationRule(World world, Checker checker) {
    super(world, checker);
    check();
  }

  private boolean isOverdue(long cancelledAtMs) {
    return sim().now() - cancelledAtMs > world().site.cancelS() * MS_PER_S;
  }

  @Override
  void started(TaskStart start) {
    OptionalLong cancelledAt = answers().cancelledAtMs(start.job());
    if (cancelledAt.isPresent() && isOverdue(cancelledAt.getAsLong())) {
      report("ran_cancelled: %s starts on %s".formatted(start.task(), start.worker().name()));
    }
  }

  private void check() {
    answers()
        .forEachCancelled(
            (job, cancelledAtMs) -> {
              if (isOverdue(cancelledAtMs)) {
                tasks()
                    .forEachTaskOf(
                        job,
                        (task, machines) ->
                            report(
                                "ran_cancelled: %s is on %s"
                                    .formatted(task, machines.iterator().next().name())));
              }
            });
    sim().after(CHECK_EVERY_MS, this::check);
  }
}
