package shorecrank.sim;

/**
 * Size limits of the state service.
 *
 * @param transactionOperations largest number of operations in a transaction
 * @param valueKb largest value, in kilobytes
 */
record StateLimits(int transactionOperations, int valueKb) {}
