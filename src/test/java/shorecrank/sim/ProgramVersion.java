package shorecrank.sim;

import java.nio.file.Path;
import java.util.List;

/**
 * A version of the program: how its process is started.
 *
 * @param command without the path of the platform's file, which comes last
 */
record ProgramVersion(String name, Path directory, List<String> command) {}
