/**
 * Soak tests: real controller processes on loopback under random faults, with the rules of the
 * simulation checked from outside.
 */
package shorecrank.soak;
