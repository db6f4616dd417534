/**
 * Sockets, clocks and metrics of a controller process: one event loop that feeds requests,
 * responses and ticks into the state machine and carries out its outputs.
 *
 * <p>It decides nothing; all decisions are made in {@code shorecrank.coordination}. It imports
 * {@code shorecrank.protocol}, {@code shorecrank.config}, and of coordination the state machine
 * with its inputs and outputs. The daemon calls it.
 */
package shorecrank.transport;
