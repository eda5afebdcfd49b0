#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0: without the disruption.
here=$(cd "$(dirname "$0")" && pwd -P)
root=$(cd "$here/../.." && pwd -P)
[ -f "$root/daemon/target/cedarrudder.jar" ] && [ -d "$here/../target" ] || {
    echo "not built: the build of deploy/balancer.toml and review/build.sh come first" >&2
    exit 2
}
exec java -Xmx512m -cp "$here/../target" EndlessAnswer "$root" "$here/record.txt" "${TROUBLE:-1}"
