/**
 * The sockets, clocks and metrics of a controller process. One event loop passes requests,
 * responses and ticks to the controller's state machine and executes its outputs.
 *
 * <p>The package makes no decisions about jobs, machines or shards; {@code shorecrank.coordination}
 * makes them. It imports {@code shorecrank.protocol}, {@code shorecrank.config}, and from {@code
 * shorecrank.coordination} only the state machine with its inputs and outputs. The daemon calls it.
 */
package shorecrank.transport;
