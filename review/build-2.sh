#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts: one program that plays all of them.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-probe ./review/probe
