#!/bin/sh
# Exit status: 0 the rule held, 1 it was broken, 2 the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
case="Case$(basename "$here")"
[ -e "target/review-2/$case.class" ] && [ -e target/honeyjunction.jar ] || exit 2
exec java -Xmx512m -cp target/review-2:target/honeyjunction.jar "$case" "$here"
