/**
 * The command-line client for operators. It shows and changes the feature level of a fleet and the
 * assignment of machines to shards, and it creates, verifies and compares archives of the state
 * service's keys.
 *
 * <p>The package turns a command line into requests to the peer addresses of controllers, and the
 * answers into text or JSON and an exit status. It imports {@code shorecrank.protocol} for the
 * messages and {@code shorecrank.rollout} for the format of archives. {@code
 * shorecrank.daemon.Main} calls it.
 */
package shorecrank.client;
