#!/bin/sh
# Builds the stand-ins of all cases into review/target. Needs a JDK and nothing else.
set -eu
here=$(cd "$(dirname "$0")" && pwd -P)
rm -rf "$here/target"
mkdir -p "$here/target"
javac -nowarn -d "$here/target" "$here"/lib/*.java "$here"/[0-9]/*.java
