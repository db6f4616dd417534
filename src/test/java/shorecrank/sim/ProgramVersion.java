package shorecrank.sim;

import java.nio.file.Path;
import java.util.List;

/**
 * A version of the program and how its process is started.
 *
 * @param directory the working directory of the process
 * @param command without the path of the configuration file, which is the last argument
 */
record ProgramVersion(String name, Path directory, List<String> command) {}
