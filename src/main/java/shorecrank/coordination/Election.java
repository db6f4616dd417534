package shorecrank.coordination;

import com.fasterxml.jackson.databind.JsonNode;
import shorecrank.protocol.Ids.MonotonicTime;
import shorecrank.protocol.Ids.NodeLabel;
import shorecrank.protocol.Ids.Revision;
import shorecrank.protocol.Json;
import shorecrank.protocol.StoreMessages;

/**
 * Who leads: the process whose key hangs on a living grant. The key's stamp is the leader's term;
 * whatever the leader writes is guarded by it.
 */
final class Election {
  static final String KEY = "leader";
  private static final int CALL_MS = 1500;

  private enum Step {
    READ,
    WATCH,
    CAMPAIGN,
    LEAD
  }

  private final Ports ports;
  private Step step = Step.READ;
  private boolean busy;
  private MonotonicTime retryAt = new MonotonicTime(0);
  private long watchFrom;
  private NodeLabel leader;
  private Revision term = Revision.ABSENT;
  private long hold = -1;
  private MonotonicTime validUntil = MonotonicTime.NEVER;
  private MonotonicTime renewAt = MonotonicTime.NEVER;

  Election(Ports ports) {
    this.ports = ports;
  }

  NodeLabel leader() {
    return leader;
  }

  /** The key is ours as far as we know; the grant may be in doubt. */
  boolean holding() {
    return step == Step.LEAD;
  }

  /** No other process can lead now, by our own clock. */
  boolean leading() {
    return step == Step.LEAD && ports.now().before(validUntil);
  }

  Revision term() {
    return term;
  }

  void tick() {
    MonotonicTime now = ports.now();
    if (step == Step.LEAD) {
      if (!now.before(renewAt)) {
        renew();
      }
      return;
    }
    if (busy || now.before(retryAt)) {
      return;
    }
    switch (step) {
      case READ -> read();
      case WATCH -> watch();
      case CAMPAIGN -> campaign();
      case LEAD -> {}
    }
  }

  private void again(Step s, int afterMs) {
    busy = false;
    step = s;
    retryAt =
        ports.now().plus(afterMs == 0 ? 0 : afterMs / 2 + ports.random().nextInt(afterMs + 1));
  }

  private void read() {
    busy = true;
    ports.state(
        "GET",
        StoreMessages.key(KEY),
        null,
        CALL_MS,
        (status, body) -> {
          if (status == 200) {
            StoreMessages.Entry e = StoreMessages.entry(body);
            watchFrom = e.stamp().value();
            seen(e.value(), e.stamp());
            boolean ours = ports.config.label().equals(leader);
            if (ours && e.hold() > 0) {
              // The label is ours and the process is not: it has ended, so nobody need wait for
              // its grant. Its late writes are refused, since the key's stamp moves on.
              busy = true;
              ports.state(
                  "DELETE",
                  StoreMessages.grant(e.hold()),
                  null,
                  CALL_MS,
                  (s2, b2) -> again(s2 == 200 || s2 == 404 ? Step.CAMPAIGN : Step.READ, 20));
              return;
            }
            again(Step.WATCH, 0);
          } else if (status == 404) {
            leader = null;
            watchFrom = Math.max(watchFrom, StoreMessages.revision(body));
            again(Step.CAMPAIGN, 0);
          } else {
            again(Step.READ, 500);
          }
        });
  }

  private void seen(JsonNode value, Revision stamp) {
    String label = Json.text(value.path("label"));
    leader = label.isEmpty() ? null : new NodeLabel(label);
    term = stamp;
  }

  private void watch() {
    busy = true;
    int holdMs = 15_000;
    ports.state(
        "GET",
        StoreMessages.watch(KEY, watchFrom, holdMs),
        null,
        holdMs + 3000,
        (status, body) -> {
          if (status != 200) {
            again(status == 410 ? Step.READ : Step.WATCH, 400);
            return;
          }
          watchFrom = Math.max(watchFrom, StoreMessages.revision(body));
          boolean vacant = false;
          for (StoreMessages.Change c : StoreMessages.changes(body)) {
            if (!c.key().equals(KEY)) {
              continue;
            }
            vacant = c.value() == null;
            if (vacant) {
              leader = null;
            } else {
              seen(c.value(), c.stamp());
            }
          }
          if (vacant) {
            again(Step.CAMPAIGN, 60);
          } else {
            again(Step.WATCH, 0);
          }
        });
  }

  private void campaign() {
    busy = true;
    MonotonicTime sent = ports.now();
    ports.state(
        "POST",
        StoreMessages.GRANTS,
        StoreMessages.ttl(ports.tuning.leaderTtlMs()),
        CALL_MS,
        (status, body) -> {
          long h = StoreMessages.hold(body);
          if (status != 200 || h < 0) {
            again(Step.READ, 400);
            return;
          }
          take(h, sent);
        });
  }

  private void take(long h, MonotonicTime grantSent) {
    ports.state(
        "POST",
        StoreMessages.MULTI,
        new StoreMessages.Txn()
            .guard(KEY, Revision.ABSENT)
            .write(
                KEY,
                Json.object()
                    .put("label", ports.config.label().value())
                    .put("writer", ports.writer.value()),
                h)
            .body(),
        CALL_MS,
        (status, body) -> {
          if (status == 200) {
            busy = false;
            step = Step.LEAD;
            hold = h;
            leader = ports.config.label();
            term = new Revision(StoreMessages.revision(body));
            watchFrom = term.value();
            validUntil = until(grantSent);
            renewAt = ports.now().plus(ports.tuning.leaderTtlMs() / 4);
            ports.info("leading with term %s", term);
            ports.count("leader.elected");
            return;
          }
          // Refused, or without an answer: a late write of ours must not find its grant alive.
          ports.state(
              "DELETE", StoreMessages.grant(h), null, CALL_MS, (s2, b2) -> again(Step.READ, 300));
        });
  }

  /** Leases run on the service's clock; ours may be fast or slow by 0.05%. */
  private MonotonicTime until(MonotonicTime sent) {
    long ttl = ports.tuning.leaderTtlMs();
    return sent.plus(ttl - ttl / 500 - 20);
  }

  private void renew() {
    MonotonicTime sent = ports.now();
    long h = hold;
    renewAt = sent.plus(ports.tuning.leaderTtlMs() / 4);
    ports.state(
        "POST",
        StoreMessages.touch(h),
        Json.object(),
        CALL_MS,
        (status, body) -> {
          if (step != Step.LEAD || hold != h) {
            return;
          }
          if (status == 200) {
            MonotonicTime u = until(sent);
            if (validUntil.before(u)) {
              validUntil = u;
            }
          } else if (status == 404) {
            ports.info("term %s ended", term);
            ports.count("leader.lost");
            leader = null;
            validUntil = MonotonicTime.NEVER;
            hold = -1;
            again(Step.READ, 50);
          } else {
            // Not known: an outage stops the clock of all grants, so the term may well go on.
            renewAt = ports.now().plus(250);
          }
        });
  }
}
