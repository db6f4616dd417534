/**
 * What a controller is configured with: the platform's file, the operators' settings, and the
 * reader for settings in protobuf text format that rollouts and shares use for theirs.
 *
 * <p>Its one job is to turn files into typed values that are within their ranges, or to fail with
 * an {@link shorecrank.config.InvalidConfigException} that names the field. It imports {@code
 * shorecrank.protocol} only; every package above reads its values, the daemon reads the files.
 */
package shorecrank.config;
