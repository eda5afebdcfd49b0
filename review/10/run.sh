#!/bin/sh
# exit 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd -P)
exec java -Xmx512m -cp "$here/../lib-2/target" ten.PausingAnswer "$(cd "$here/../.." && pwd -P)" "$here"
