/**
 * The program's entry: the daemon's command line, its configuration files, and the start of one
 * controller process; any other command line goes to the client.
 *
 * <p>Its one job is to put the parts together. It may import every other package; nothing imports
 * it. A mistake at the start is one line on standard error and exit status 2.
 */
package shorecrank.daemon;
