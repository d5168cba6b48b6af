#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. TROUBLE=0 leaves the disruption out.
here=$(cd "$(dirname "$0")" && pwd) || exit 2
root=$(cd "$here/../.." && pwd) || exit 2
cases=$root/target/review-2/cases
[ -x "$cases" ] && [ -x "$root/target/release/spokeflow-router" ] || { echo "not built" >&2; exit 2; }
folder=$(mktemp -d) || exit 2
timeout -k 3 110 "$cases" short-length "$root" "$folder" "$here/record.txt" &
pid=$!
# An end from outside ends the stand-ins and the router with it.
# `timeout` leads a process group, and all that it starts stay in it.
end_group() { kill -s KILL -- "-$pid" 2>/dev/null; }
trap 'end_group; wait $pid; rm -rf "$folder"; exit 2' TERM INT HUP
wait $pid
code=$?
end_group
rm -rf "$folder"
[ $code -le 2 ] || code=2
exit $code
