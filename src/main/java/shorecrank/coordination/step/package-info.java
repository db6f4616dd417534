/**
 * The inputs and outputs of one step of the state machine, and the context through which the other
 * packages of {@code coordination} access time, random numbers and other processes.
 *
 * <p>{@link shorecrank.coordination.step.StepContext} is passed to every part of the state machine.
 * {@link shorecrank.coordination.step.PeerClient} and {@link shorecrank.storage.StateStore} offer
 * typed calls to other controllers and to the state service. A call is an output of one step; its
 * answer is the input of a later step.
 *
 * <p>The package is used by all packages of {@code coordination}. {@code transport} and the test
 * simulator create its inputs and carry out its outputs. It may import {@code config}, {@code
 * protocol} and {@code storage}.
 */
package shorecrank.coordination.step;
