/**
 * The configuration of a controller: the platform's configuration file, the operators' settings,
 * and the parser for settings in protobuf text format, which {@code shorecrank.rollout} and {@code
 * shorecrank.rebalance} use as well.
 *
 * <p>The package turns the content of files into typed values that are within their ranges, or
 * throws an {@link shorecrank.config.InvalidConfigException} that names the field. The daemon reads
 * the files. The package imports only {@code shorecrank.protocol}.
 */
package shorecrank.config;
