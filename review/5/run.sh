#!/usr/bin/env bash
# Plays the case after the build line of deploy/system.toml and review/build.sh; see claim.txt.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/bin/harness ] && [ -x target/kingcupwood ] || { echo "not built"; exit 2; }
exec review/bin/harness leave-forgotten review/5/record.txt
