package shorecrank.sim;

import java.util.List;

/**
 * A type of machine that the simulated cloud rents.
 *
 * @param bootS nominal boot time in seconds
 * @param zones the zones that offer the type
 */
record MachineType(double cpus, double memoryGb, double bootS, List<String> zones) {}
