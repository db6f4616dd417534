#!/bin/sh
# Builds the stand-ins and the cases. Needs the build of the deploy file before it, and no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/target/classes
javac -d review/target/classes -cp target/shorecrank.jar review/lib/*.java review/[1-9]/*.java
