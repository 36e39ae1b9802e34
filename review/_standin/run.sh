# Sourced by the run.sh of a case, with $case set: plays it and exits with its result.
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
here=review/$case
[ -x target/hickorystage ] && [ -x "target/review/case$case" ] || { echo "run the build line of deploy/system.toml and review/build.sh first" >&2; exit 2; }
# timeout leads a process group of its own, to which all processes of the case belong. What is
# left of it at the end, if anything, is ended too.
timeout --kill-after=1 118 "target/review/case$case" "$here/record.txt" &
pid=$!
trap 'kill -KILL -- "-$pid" 2>/dev/null' EXIT
trap 'exit 2' INT TERM
rc=0
wait "$pid" || rc=$?
[ "$rc" -le 2 ] || rc=2
exit "$rc"
