/**
 * What one step of the state machine gets and gives: inputs, outputs, and the context through which
 * all other packages see time, random numbers and other processes.
 *
 * <p>{@link shorecrank.coordination.step.StepContext} is passed to every part of the state machine;
 * {@link shorecrank.coordination.step.PeerClient} and {@link shorecrank.storage.StateStore} are the
 * typed calls of other controllers and of the state service. A call is an output of the step; its
 * answer is the input of a later one.
 *
 * <p>It is called by all packages of {@code coordination}; {@code transport} and the simulator of
 * the tests make its inputs and carry its outputs out. It may import {@code config}, {@code
 * protocol} and {@code storage}.
 */
package shorecrank.coordination.step;
