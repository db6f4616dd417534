package shorecrank.coordination.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.github.benmanes.caffeine.cache.Cache;
import com.github.benmanes.caffeine.cache.Caffeine;
import java.util.ArrayDeque;
import java.util.BitSet;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import shorecrank.config.NodeConfig;
import shorecrank.coordination.model.CancellationLog;
import shorecrank.coordination.model.MachineConstraints;
import shorecrank.coordination.request.DependencyAdmission.Result;
import shorecrank.coordination.shard.StatusQueries;
import shorecrank.coordination.step.StepContext;
import shorecrank.protocol.CloudMessages.MachineType;
import shorecrank.protocol.Ids.Epoch;
import shorecrank.protocol.Ids.JobId;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Ids.ShardId;
import shorecrank.protocol.Ids.WriterId;
import shorecrank.protocol.JobSpec;
import shorecrank.protocol.Json;
import shorecrank.protocol.StoreMessages;
import shorecrank.protocol.StoreMessages.Transaction;
import shorecrank.protocol.UserMessages;
import shorecrank.protocol.UserMessages.JobState;
import shorecrank.protocol.UserMessages.JobStatus;
import shorecrank.storage.JobRecord;
import shorecrank.storage.JobRecord.Final;

/**
 * The users' requests. Any controller serves them from the store alone, so that no answer is older
 * than one already given; only what can never change again is answered from memory.
 */
public final class UserRequestHandler {
  private static final int CALL_MS = 1500;
  private static final int CANCEL_TRIES = 6;
  private static final int CREATE_TRIES = 2;

  /** What an owner adds to a record with its first placement, at the most. */
  private static final int OWNERS_BYTES = 256;

  private static final String TOO_LARGE = "its record is larger than the state service takes";

  private final StepContext context;
  private final Cache<JobId, Final> finals =
      Caffeine.newBuilder().maximumSize(5000).executor(Runnable::run).build();

  /** Parts of jobs seen here: whom to ask about them. */
  private final Cache<JobId, ShardId> partOf =
      Caffeine.newBuilder().maximumSize(5000).executor(Runnable::run).build();

  private final CancellationLog cancellations;
  private final Owners owners;
  private final Relay relay;
  private final DependencyAdmission prerequisites;
  private Map<String, MachineType> catalog = Map.of();

  /** A user's request; {@code relayed} if another controller passed it on. */
  public record Ask(long reply, String method, String path, byte[] body, boolean relayed) {}

  /** Passes a request on to a controller that reaches the state service. */
  public interface Relay {
    /** False if there is none; else the answer is given, or {@code failed} is run. */
    boolean relay(Ask ask, Runnable failed);
  }

  /** Asks the owner of a part, wherever it is. */
  public interface Owners {
    void ask(ShardId shard, JobId id, StatusQueries.StatusCallback then);
  }

  public UserRequestHandler(
      StepContext context, CancellationLog cancellations, Owners owners, Relay relay) {
    this.context = context;
    this.cancellations = cancellations;
    this.relay = relay;
    this.owners = owners;
    this.prerequisites =
        new DependencyAdmission(
            context,
            (id, found, absent, unknown) ->
                lookUp(id, f -> found.accept(f.jobStatus().phase()), absent, unknown));
  }

  public void catalog(Map<String, MachineType> c) {
    catalog = c;
  }

  private void later(Ask ask, String why) {
    context.count("user.refused." + why.replace(' ', '_'));
    context.replyLater(ask.reply(), 503, Json.error(why), 1);
  }

  /** Another controller may still reach the state service; then it answers for this one. */
  private void unavailable(Ask ask) {
    if (ask.relayed() || !relay.relay(ask, () -> later(ask, "state service unavailable"))) {
      later(ask, "state service unavailable");
    }
  }

  private boolean busy(Ask ask) {
    if (context.requests.has(1, context.now())) {
      return false;
    }
    later(ask, "state requests are used up");
    return true;
  }

  public void submit(Ask ask) {
    JobSpec spec;
    try {
      spec = JobSpec.read(Json.parse(ask.body()));
    } catch (JobSpec.Malformed e) {
      context.reply(ask.reply(), 400, Json.error(e.getMessage()));
      return;
    }
    if (catalog.isEmpty()) {
      later(ask, "machine types are not known yet");
      return;
    }
    String never = never(spec);
    if (never != null) {
      refuse(ask, spec, never);
    } else if (!context.stateOk()) {
      unavailable(ask);
    } else {
      ObjectNode value = firstRecord(spec);
      if (value == null) {
        refuse(ask, spec, TOO_LARGE);
      } else {
        prerequisites.check(spec.prerequisites(), result -> checked(ask, spec, value, result));
      }
    }
  }

  /**
   * Only jobs that were accepted may be named. One that names a cancelled job is accepted, and is
   * cancelled.
   */
  private void checked(Ask ask, JobSpec spec, ObjectNode value, DependencyAdmission.Result result) {
    if (result instanceof Result.Accepted accepted) {
      if (context.userWrites.tryTake(1, context.now())) {
        JobState phase = accepted.cancelled() ? JobState.CANCELLED : JobState.QUEUED;
        create(ask, spec, phase, value, CREATE_TRIES);
      } else {
        later(ask, "state changes are used up");
      }
    } else if (result instanceof Result.NeverAccepted never) {
      refuse(ask, spec, "needs a job never accepted: " + never.id());
    } else if (result instanceof Result.OutOfBudget) {
      later(ask, "state requests are used up");
    } else if (result instanceof Result.Unknown) {
      unavailable(ask);
    }
  }

  /**
   * A submission that can never be accepted gets 422. Limits may have changed since the job was
   * accepted: a known one is answered as such.
   */
  private void refuse(Ask ask, JobSpec spec, String reason) {
    lookUp(
        spec.id(),
        found -> answerKnown(ask, spec.id(), found),
        () -> context.reply(ask.reply(), 422, Json.error(reason)),
        () -> unavailable(ask));
  }

  private String never(JobSpec s) {
    NodeConfig.Team team = context.config.teams().get(s.team());
    if (team == null) {
      return "unknown team " + s.team();
    }
    if (!MachineConstraints.isSatisfiable(s, catalog)) {
      return "no allowed machine type can hold a task";
    }
    if ((team.cpusMax() > 0 && s.cpus() > team.cpusMax())
        || (team.gpusMax() > 0 && s.gpus() > team.gpusMax())) {
      return "a task needs more than the team's limit";
    }
    return null;
  }

  /**
   * The form in which a record is written first, with room for what its owner adds; null if none
   * fits. The compact form is for jobs that name others: versions that know no such jobs don't read
   * it.
   */
  private ObjectNode firstRecord(JobSpec spec) {
    JobRecord record =
        new JobRecord(
            spec,
            Epoch.NONE,
            WriterId.NONE,
            0,
            new BitSet(),
            List.of(),
            0,
            false,
            context.wallMs(),
            0);
    double most = context.config.state().valueKb() * 1024;
    ObjectNode value = record.write();
    int bytes = Json.bytes(value).length;
    if (spec.prerequisites().isEmpty()) {
      return bytes <= most ? value : null;
    }
    if (bytes + OWNERS_BYTES <= most) {
      return value;
    }
    ObjectNode compact = record.writeCompact();
    return Json.bytes(compact).length + OWNERS_BYTES <= most ? compact : null;
  }

  private void create(Ask ask, JobSpec spec, JobState phase, ObjectNode value, int attemptCount) {
    partOf.put(spec.id(), ShardId.of(spec.team(), context.tuning.shards()));
    context.state(
        "POST",
        StoreMessages.MULTI,
        new Transaction()
            .guard(JobRecord.liveKey(spec.id()), Revision.ABSENT)
            .guard(JobRecord.finalKey(spec.id()), Revision.ABSENT)
            .write(JobRecord.liveKey(spec.id()), value)
            .body(),
        CALL_MS,
        (status, body) -> {
          if (status == 200) {
            context.count("job.accepted");
            if (phase == JobState.CANCELLED) {
              cancellations.confirmed(spec.id());
            }
            context.reply(ask.reply(), 201, UserMessages.phase(spec.id(), phase));
          } else if (status == 409) {
            lookUp(
                spec.id(),
                found -> answerKnown(ask, spec.id(), found),
                () -> later(ask, "try again"),
                () -> unavailable(ask));
          } else if (status == 400) {
            // The state service takes less than it has announced.
            refuse(ask, spec, TOO_LARGE);
          } else if (status == 0 && attemptCount > 1) {
            // It may have been accepted, or be yet: the same guard settles that.
            create(ask, spec, phase, value, attemptCount - 1);
          } else {
            unavailable(ask);
          }
        });
  }

  /** A job as the store has it. */
  private sealed interface Found {
    JobStatus jobStatus();

    record Unfinished(JobRecord record, Revision revision) implements Found {
      @Override
      public JobStatus jobStatus() {
        return record.jobStatus();
      }
    }

    /** Its record is as it was, but a job that it needs is cancelled, and so is this one. */
    record CancelledWithOthers(JobRecord record) implements Found {
      @Override
      public JobStatus jobStatus() {
        return new JobStatus(JobState.CANCELLED, 0, 0);
      }
    }

    record Over(Final end) implements Found {
      @Override
      public JobStatus jobStatus() {
        return end.jobStatus();
      }
    }
  }

  /** Whoever is told that a job is cancelled counts on the end of its tasks from then on. */
  private void told(Found f) {
    if (f instanceof Found.Unfinished u && u.record.cancelled()) {
      cancellations.confirmed(u.record.spec().id());
    } else if (f instanceof Found.CancelledWithOthers c) {
      cancellations.confirmed(c.record.spec().id());
    }
  }

  private void answerKnown(Ask ask, JobId id, Found f) {
    told(f);
    context.reply(ask.reply(), 200, UserMessages.phase(id, f.jobStatus().phase()));
  }

  /**
   * The record of an unfinished job is looked up first: a job only ever moves from there to the
   * final records, in one transaction, so one found in neither was not known when asked for.
   */
  private void lookUp(JobId id, Consumer<Found> found, Runnable absent, Runnable unknown) {
    lookUpRecord(
        id,
        f -> {
          if (f instanceof Found.Unfinished u && mayWait(u.record)) {
            ArrayDeque<JobId> needed = new ArrayDeque<>(u.record.spec().prerequisites());
            withOthers(u, needed, new HashSet<>(needed), found, unknown);
          } else {
            found.accept(f);
          }
        },
        absent,
        unknown);
  }

  /** Nothing of it was ever placed, so what it needs may not be done. */
  private static boolean mayWait(JobRecord r) {
    return !r.cancelled() && r.attemptCount() == 0 && !r.spec().prerequisites().isEmpty();
  }

  /**
   * A job that waits is cancelled with any that it needs, directly or through others, whether or
   * not its owner has written that yet.
   */
  private void withOthers(
      Found.Unfinished waiting,
      ArrayDeque<JobId> open,
      Set<JobId> seen,
      Consumer<Found> found,
      Runnable unknown) {
    JobId id = open.poll();
    if (id == null) {
      found.accept(waiting);
      return;
    }
    if (cancellations.known(id)) {
      found.accept(new Found.CancelledWithOthers(waiting.record));
      return;
    }
    Runnable next = () -> withOthers(waiting, open, seen, found, unknown);
    lookUpRecord(
        id,
        f -> {
          if (f.jobStatus().phase() == JobState.CANCELLED) {
            cancellations.learn(id);
            found.accept(new Found.CancelledWithOthers(waiting.record));
            return;
          }
          if (f instanceof Found.Unfinished u && mayWait(u.record)) {
            u.record.spec().prerequisites().stream().filter(seen::add).forEach(open::add);
          }
          next.run();
        },
        next,
        unknown);
  }

  private void lookUpRecord(JobId id, Consumer<Found> found, Runnable absent, Runnable unknown) {
    Final f = finals.getIfPresent(id);
    if (f != null) {
      found.accept(new Found.Over(f));
      return;
    }
    context.state(
        "GET",
        StoreMessages.key(JobRecord.liveKey(id)),
        null,
        CALL_MS,
        (status, body) -> {
          if (status == 200) {
            StoreMessages.Entry e = StoreMessages.entry(body);
            JobRecord r = JobRecord.read(e.value());
            if (r == null) {
              context.unreadable(JobRecord.liveKey(id));
              unknown.run();
            } else {
              partOf.put(id, ShardId.of(r.spec().team(), context.tuning.shards()));
              found.accept(new Found.Unfinished(r, e.revision()));
            }
          } else if (status == 404) {
            lookUpFinal(id, found, absent, unknown);
          } else {
            unknown.run();
          }
        });
  }

  private void lookUpFinal(JobId id, Consumer<Found> found, Runnable absent, Runnable unknown) {
    context.state(
        "GET",
        StoreMessages.key(JobRecord.finalKey(id)),
        null,
        CALL_MS,
        (status, body) -> {
          if (status == 200) {
            Final end = Final.read(StoreMessages.entry(body).value());
            if (end == null) {
              context.unreadable(JobRecord.finalKey(id));
              unknown.run();
              return;
            }
            finals.put(id, end);
            found.accept(new Found.Over(end));
          } else if (status == 404) {
            absent.run();
          } else {
            unknown.run();
          }
        });
  }

  public void status(Ask ask, String name) {
    if (!JobSpec.idOk(name)) {
      context.reply(ask.reply(), 404, Json.error("no such job"));
      return;
    }
    JobId id = new JobId(name);
    ShardId shard = partOf.getIfPresent(id);
    if (shard == null || finals.getIfPresent(id) != null) {
      statusFromStore(ask, id);
      return;
    }
    owners.ask(
        shard,
        id,
        jobStatus -> {
          if (jobStatus == null) {
            statusFromStore(ask, id);
            return;
          }
          if (jobStatus.phase() == JobState.CANCELLED) {
            cancellations.confirmed(id);
          }
          context.reply(ask.reply(), 200, UserMessages.status(id, jobStatus));
        });
  }

  private void statusFromStore(Ask ask, JobId id) {
    if (finals.getIfPresent(id) == null) {
      if (!context.stateOk()) {
        unavailable(ask);
        return;
      }
      if (busy(ask)) {
        return;
      }
    }
    lookUp(
        id,
        found -> {
          told(found);
          context.reply(ask.reply(), 200, UserMessages.status(id, found.jobStatus()));
        },
        () -> context.reply(ask.reply(), 404, Json.error("no such job")),
        () -> unavailable(ask));
  }

  public void cancel(Ask ask, String name) {
    if (!JobSpec.idOk(name)) {
      context.reply(ask.reply(), 404, Json.error("no such job"));
      return;
    }
    if (!context.stateOk()) {
      unavailable(ask);
    } else if (!busy(ask)) {
      cancel(ask, new JobId(name), CANCEL_TRIES);
    }
  }

  private void cancel(Ask ask, JobId id, int attemptCount) {
    if (attemptCount == 0) {
      later(ask, "busy");
      return;
    }
    lookUp(
        id,
        found -> {
          if (found instanceof Found.Unfinished u && !u.record.cancelled()) {
            mark(ask, id, u, attemptCount);
          } else {
            answerKnown(ask, id, found);
          }
        },
        () -> context.reply(ask.reply(), 404, Json.error("no such job")),
        () -> unavailable(ask));
  }

  /** Epoch and writer stay the owner's; only the mark is ours, behind the record's revision. */
  private void mark(Ask ask, JobId id, Found.Unfinished u, int attemptCount) {
    if (!context.userWrites.tryTake(1, context.now())) {
      later(ask, "state changes are used up");
      return;
    }
    mark(ask, id, u, attemptCount, u.record.marked().write(), false);
  }

  private void mark(
      Ask ask, JobId id, Found.Unfinished u, int attemptCount, ObjectNode marked, boolean compact) {
    context.state(
        "POST",
        StoreMessages.MULTI,
        new Transaction()
            .guard(JobRecord.liveKey(id), u.revision)
            .write(JobRecord.liveKey(id), marked)
            .body(),
        CALL_MS,
        (status, body) -> {
          if (status == 200) {
            context.count("job.cancelled");
            cancellations.confirmed(id);
            context.reply(ask.reply(), 200, UserMessages.phase(id, JobState.CANCELLED));
          } else if (status == 409 || status == 0) {
            // Changed meanwhile, or not known: look again and write behind what is there now.
            cancel(ask, id, attemptCount - 1);
          } else if (status == 400 && !compact) {
            // It was written under larger limits.
            mark(ask, id, u, attemptCount, u.record.marked().writeCompact(), true);
          } else {
            unavailable(ask);
          }
        });
  }
}
