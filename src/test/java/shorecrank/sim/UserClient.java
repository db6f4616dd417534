package shorecrank.sim;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/** Sends users' requests through a load balancer, and has every answer checked. */
final class UserClient {
  /** Time until the load balancer stops sending connections to a controller that is down. */
  private static final long FAILURE_DETECTION_MS = 3000;

  /** Observes every answer before the sender of the request handles it. */
  @FunctionalInterface
  interface AnswerObserver {
    /** Called for each answer. */
    void answered(UserRequest request, int status, JsonNode body);
  }

  private final World world;
  private final Simulation sim;
  private final AnswerObserver observer;

  /** Null for a simple choice among the controllers that are up. */
  private LoadBalancer loadBalancer;

  private final Set<String> jobsWithoutRequests = new HashSet<>();

  UserClient(World world, AnswerObserver observer) {
    this.world = world;
    this.sim = world.sim;
    this.observer = observer;
  }

  /** Drops all requests about a job from now on. */
  void dropRequestsAbout(String job) {
    jobsWithoutRequests.add(job);
  }

  /** Has requests sent through a load balancer that probes the controllers. */
  void useLoadBalancer(LoadBalancer balancer) {
    loadBalancer = balancer;
  }

  /** Sends a request to a controller that the load balancer chooses. */
  void send(UserRequest request, ReplyHandler reply) {
    if (loadBalancer != null) {
      sendThroughLoadBalancer(request, reply);
      return;
    }
    List<ControllerNode> nodes = world.controllers();
    List<ControllerNode> healthy = nodes.stream().filter(this::isConsideredHealthy).toList();
    List<ControllerNode> candidates = healthy.isEmpty() ? nodes : healthy;
    send(candidates.get(sim.random().nextInt(candidates.size())), request, reply);
  }

  private void sendThroughLoadBalancer(UserRequest request, ReplyHandler reply) {
    Optional<ControllerNode> node = loadBalancer.connect();
    if (node.isPresent()) {
      send(
          node.get(),
          request,
          (status, body) -> {
            loadBalancer.disconnect(node.get());
            reply.accept(status, body);
          });
    } else {
      long askedAtMs = sim.now();
      sim.after(
          1,
          () -> {
            world.checker.requestFinished(request.job(), askedAtMs, false);
            reply.noAnswer();
          });
    }
  }

  private boolean isConsideredHealthy(ControllerNode node) {
    return node.isUp() || sim.now() - node.downSinceMs() < FAILURE_DETECTION_MS;
  }

  /** Sends a request to a controller. */
  void send(ControllerNode to, UserRequest request, ReplyHandler reply) {
    String job = request.job();
    long askedAtMs = sim.now();
    KnownJobState toldBefore = world.checker.answers().snapshot(job);
    boolean[] done = new boolean[1];
    ReplyHandler firstAnswer =
        (status, body) -> {
          if (done[0]) {
            return;
          }
          done[0] = true;
          if (status != ReplyHandler.NO_ANSWER) {
            world.checker.answered(new UserAnswer(request.kind(), job, status, body, toldBefore));
            observer.answered(request, status, body);
          }
          world.checker.requestFinished(
              job, askedAtMs, status == 200 || status == 201 || status == 404);
          reply.accept(status, body);
        };
    sim.after(request.timeoutMs(), firstAnswer::noAnswer);
    if (!jobsWithoutRequests.contains(job)) {
      world.network.sendUserRequest(to, request.message(), firstAnswer);
    }
  }
}
