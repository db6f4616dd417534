/**
 * The entry point of the program: it parses the daemon's command line, loads the configuration
 * files and starts a controller, or passes the command line to the client.
 *
 * <p>The package may import every other package; none imports it. If the daemon cannot start, it
 * prints one line on standard error and exits with status 2.
 */
package shorecrank.daemon;
