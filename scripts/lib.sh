# Common parts of the scripts: starting processes on free loopback ports and ending them by id.
# shellcheck shell=bash
bin=${CARGO_TARGET_DIR:-target}/release
work=$(mktemp -d)
pids=()

cleanup() {
  for pid in "${pids[@]}"; do kill "$pid" 2>/dev/null || true; done
  wait 2>/dev/null || true
  if [ -n "${KEEP:-}" ]; then echo "logs kept in $work"; else rm -rf "$work"; fi
}
trap cleanup EXIT

# start NAME COMMAND...: starts a process and waits for its ready line.
start() {
  local name=$1
  shift
  "$@" >"$work/$name.out" 2>"$work/$name.err" &
  pids+=($!)
  for _ in $(seq 400); do
    grep -q '^ready' "$work/$name.out" && return
    sleep 0.05
  done
  echo "$name did not start:" && cat "$work/$name.err" && exit 1
}

# address NAME: the address of a stand-in.
address() { awk '/^ready/ { print $2 }' "$work/$1.out"; }

# entry_address NAME PORT: an address of an entry; PORT is callers, operators or peers.
entry_address() { sed -n "s/.*$2=\([0-9.:]*\).*/\1/p" "$work/$1.out"; }

# start_platform NAMES...: the store, the instance list, and keys for the named entries.
start_platform() {
  start store $bin/jackdawpier-standin store
  start list $bin/jackdawpier-standin instance-list --lag-ms 500
  list=http://$(address list)
  $bin/jackdawpier-standin keys --folder "$work/keys" "$@"
}

# start_entry NAME: one entry with its settings.
start_entry() {
  local name=$1
  cat >"$work/$name.yaml" <<YAML
entry: entry-$name
zone: riga-1
listen: { callers: "127.0.0.1:0", operators: "127.0.0.1:0", peers: "127.0.0.1:0" }
store_url: http://$(address store)
instance_list_url: $list
peer_tls:
  authority_file: $work/keys/authority.pem
  certificate_file: $work/keys/$name.pem
  key_file: $work/keys/$name.key
traces: { span_file: "$work/spans.jsonl" }
YAML
  start "entry-$name" $bin/jackdawpierd "$work/$name.yaml"
}
