#!/bin/sh
# Exits with 1 if a task started in a wrong place, 0 if none did, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
exec java -cp review/target/classes:target/shorecrank.jar SpreadCase review/3/record.txt
