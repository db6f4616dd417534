#!/bin/bash
# Runs case 6. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves the disruption out. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -f target/shorecrank.jar ] || [ ! -f review/target/lib-2/standin/Case6.class ]; then
  echo "build the deploy file and run review/build-2.sh first"
  exit 2
fi
java -Xmx1g -cp target/shorecrank.jar:review/target/lib-2 standin.Case6 review/6/record.txt &
child=$!
trap 'kill -TERM "$child" 2>/dev/null' TERM INT HUP
wait "$child"
status=$?
while kill -0 "$child" 2>/dev/null; do
  wait "$child"
  status=$?
done
case $status in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
