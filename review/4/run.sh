#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves out the disruption.
cd "$(dirname "${BASH_SOURCE[0]}")/../.." || exit 2
[[ -x target/platform/runtime/bin/java && -f target/review/Lab.class ]] || { echo "not built: deploy/build, review/build.sh"; exit 2; }
java="$(bin/java-home)/bin/java" || exit 2
timeout -k 3 112 "$java" -Xmx512m -cp target/review UnreadableNote review/4
case $? in
  10) exit 0 ;;
  11) exit 1 ;;
  *) exit 2 ;;
esac
