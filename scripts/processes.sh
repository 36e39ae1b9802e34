# Sourced by scripts that start processes: start runs one with its output in
# $out/NAME.log, and every one started is ended when the script ends, however it
# ends, the gateways (names gw-*) first, so that they can hand over.

mkdir -p "$out"
gateways=()
others=()

# end PID... asks processes to stop and waits for them.
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

# start NAME COMMAND... runs a process.
start() {
  local name=$1
  shift
  "$@" >"$out/$name.log" 2>&1 &
  case "$name" in
    gw-*) gateways+=($!) ;;
    *) others+=($!) ;;
  esac
}
