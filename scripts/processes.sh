# Sourced by scripts that start processes, with $out set to a directory for logs.
# Every process started by start is ended when the script exits, also after an
# error or a signal: the gateways (names gw-*) first, so that they can hand over
# while the stand-ins still run.

mkdir -p "$out"
gateways=()
others=()

# end PID... sends SIGTERM to processes and waits until they have exited.
end() {
  [ $# -gt 0 ] || return 0
  kill -TERM "$@" 2>/dev/null || true
  wait "$@" 2>/dev/null || true
}

stop() {
  trap - EXIT INT TERM
  end "${gateways[@]}"
  end "${others[@]}"
  echo "step: every process has ended"
}
trap stop EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

# start NAME COMMAND... runs a process in the background with its output in
# $out/NAME.log.
start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  case "$name" in
    gw-*) gateways+=($!) ;;
    *) others+=($!) ;;
  esac
}
