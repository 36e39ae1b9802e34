# Sourced by the run.sh of a case, with $case set: plays it and exits with its result.
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
here=review/$case
[ -x target/hickorystage ] && [ -x "target/review/case$case" ] || { echo "run the build line of deploy/system.toml and review/build.sh first" >&2; exit 2; }
# timeout ends the whole process group, the gateways included.
rc=0
timeout --kill-after=1 118 "target/review/case$case" "$here/record.txt" || rc=$?
[ "$rc" -le 2 ] || rc=2
exit "$rc"
