#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The build line of deploy/system.toml builds the daemon.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o review/bin/harness ./review/_harness
