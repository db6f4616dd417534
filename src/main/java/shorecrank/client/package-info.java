/**
 * The command-line client for operators: it watches and steers feature levels and shares, and
 * makes, checks and compares archives of the service's keys.
 *
 * <p>Its one job is to turn a command line into requests to controllers' peer addresses, and their
 * answers into text, JSON and an exit status. It imports {@code shorecrank.protocol} for messages
 * and {@code shorecrank.rollout} for the format of archives. The daemon's entry calls it.
 */
package shorecrank.client;
