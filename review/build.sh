#!/usr/bin/env bash
# Builds the stand-ins of the cases. Needs the JDK 25 that the project's build needs, and nothing else.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")/.."
out=target/review
rm -rf "$out"
mkdir -p "$out"
"$(bin/java-home)/bin/javac" -nowarn -d "$out" review/standin/*.java
cp review/standin/wire.properties "$out/"
