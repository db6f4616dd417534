#!/bin/bash
# Builds the stand-ins and the cases 4 to 8 against the program's jar, which the build of the deploy file makes.
set -euo pipefail
cd "$(dirname "$0")/.."
rm -rf review/target/lib-2
mkdir -p review/target/lib-2
sources=(review/lib-2/*.java)
for folder in review/[4-8]/src; do
  sources+=("$folder"/*.java)
done
javac -Xlint:all -encoding UTF-8 -cp target/shorecrank.jar -d review/target/lib-2 "${sources[@]}"
