/**
 * The edge to the wire: every message that controllers, workers, users, operators, the cloud and
 * the state service exchange, as immutable records, and the codecs that write and read them as
 * JSON.
 *
 * <p>A {@code ...Messages} class holds the records of one family, a {@code ...Codec} class their
 * field names on the wire beside its read and write methods, a {@code ...Paths} class the paths of
 * requests. The wire's field names are older than the names of the code and must not change; only
 * codecs know them, and docs/design.md lists both.
 *
 * <p>This is the lowest package: it imports Jackson and nothing of shorecrank, and every other
 * package may import it. All of its classes are immutable or without state, except {@link
 * shorecrank.protocol.StoreMessages.Transaction}, and none does input or output.
 *
 * <p>Malformed messages: a request or order that is refused as a whole makes its codec throw {@link
 * shorecrank.protocol.MalformedMessageException}, which names the field and the reason. Answers and
 * stored values that can't be read are treated like absent ones, so their codecs return an empty
 * {@link java.util.Optional}.
 */
package shorecrank.protocol;
