#!/bin/sh
# Exits with 1 if a controller ended by itself, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp review/target/classes:target/shorecrank.jar RollUpCase review/2/record.txt
