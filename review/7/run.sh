#!/bin/sh
# exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd -P)
root=$(cd "$here/../.." && pwd -P)
stands=$here/../lib-2/target
if ! [ -f "$root/daemon/target/cedarrudder.jar" ] || ! [ -f "$stands/seven/SlowReader.class" ]; then
    echo "not built: the build of deploy/balancer.toml and review/build-2.sh come first" >&2
    exit 2
fi
exec java -Xmx512m -cp "$stands" seven.SlowReader "$root" "$here"
