#!/usr/bin/env bash
# Plays the case after the build line of deploy/system.toml and review/build.sh; see claim.txt.
# TROUBLE=0 leaves out the disruption. Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/harness ] && [ -x target/kingcupwood ] || { echo "not built"; exit 2; }
trouble=yes
if [ "${TROUBLE:-1}" = 0 ]; then trouble=no; fi
exec review/bin/harness leave-forgotten review/5/record.txt "$trouble"
