/**
 * The wire protocol: the messages that controllers, workers, users, operators, the cloud and the
 * state service exchange, as immutable records, and the codecs that write and read them as JSON.
 *
 * <p>A {@code ...Messages} class holds the records of related messages. A {@code ...Codec} class
 * holds their field names on the wire and the methods that read and write them. A {@code ...Paths}
 * class holds the paths of requests. Field names on the wire differ from the names in the code and
 * must not change, because other versions and services depend on them. Only codecs use them;
 * docs/design.md lists both.
 *
 * <p>This package depends on Jackson but on no other package of shorecrank, and every other package
 * may depend on it. Its classes are immutable or stateless, except {@link
 * shorecrank.protocol.StoreMessages.Transaction}, and none performs input or output.
 *
 * <p>If a request or order is malformed, its codec throws {@link
 * shorecrank.protocol.MalformedMessageException}, which names the field and the reason. Answers and
 * stored values that are malformed are treated as absent, so their codecs return an empty {@link
 * java.util.Optional}.
 */
package shorecrank.protocol;
