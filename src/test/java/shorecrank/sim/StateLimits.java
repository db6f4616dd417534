package shorecrank.sim;

/** Size limits of the state service: operations of a transaction, and kilobytes of a value. */
record StateLimits(int transactionOperations, int valueKb) {}
