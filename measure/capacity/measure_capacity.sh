#!/bin/bash
# Runs the capacity measurements and combines their figures in one `measured` line:
#   measure_capacity.sh FOLDER-OF-PROGRAMS PROGRAM-OF-THE-VERSION-BEFORE FOLDER-FOR-THE-OUTPUT
#   measure_capacity.sh join FOLDER-OF-THE-OUTPUT    # prints the line again from an earlier run
# The output of each part stays in FOLDER-FOR-THE-OUTPUT. Exits with 1 when a part failed or a figure is missing.
set -uo pipefail
if [ "$1" = join ]; then
  programs=
  output=$2
else
  programs=$1
  before=$2
  output=$3
fi
servers=6100
callers=10000
services=2000
subset_size=20
mkdir -p "$output"
failed=0

run() {
  local name=$1
  shift
  echo "== $name: $*"
  local code=0
  "$@" > "$output/$name.txt" 2>&1 || code=1
  [ $code = 0 ] || echo "$name failed: $output/$name.txt"
  tail -n 1 "$output/$name.txt"
  return $code
}

# Prints the value of a key in the last line of a part: value PART KEY.
value() { tail -n 1 "$output/$1.txt" | tr ' ' '\n' | sed -n "s/^$2=//p" | head -n 1; }

# Prints the median of a slope at one size: median_at PART SLOPE VARIABLE SIZE. `median=` lists the medians in the
# order of `sizes=`.
median_at() {
  awk -v name="$2" -v by="by=$3" -v size="$4" '
    $1 == "slope" && $2 == name && $3 == by {
      split(substr($4, 7), sizes, ","); split(substr($5, 8), medians, ",")
      for (i in sizes) if (sizes[i] == size) print medians[i]
    }' "$output/$1.txt"
}

# Prints the exponent of a slope: exponent_of PART SLOPE VARIABLE.
exponent_of() {
  awk -v name="$2" -v by="by=$3" '
    $1 == "slope" && $2 == name && $3 == by { for (i = 1; i <= NF; ++i) if ($i ~ /^exponent=/) print substr($i, 10) }
  ' "$output/$1.txt"
}

if [ -n "$programs" ]; then
  run real "$programs/measure_capacity_real" --servers $servers --callers $callers --services $services \
    --subsetting $subset_size || failed=1
  run server "$programs/measure_capacity_server" || failed=1
  # These two run at the same time: each has one thread and measures only its own CPU time.
  run slopes "$programs/measure_capacity_slopes" --subsetting $subset_size &
  run before "$before" --before || failed=1
  wait $! || failed=1
fi

line="measured capacity nodes=$servers callers=$callers services=$services"
add() {
  [ -n "$2" ] || { echo "no figure for $1"; failed=1; }
  line+=" $1=${2:-none}"
}
add routes 49098
add tenants 380000
add step_ms "$(median_at slopes step_at_rest servers $servers)"
add step_exponent "$(exponent_of slopes step_at_rest servers)"
add change_p99_ms "$(value real change_p99_ms)"
add change_bytes_per_caller "$(value real change_bytes_per_caller)"
add kb_per_caller "$(value real kb_per_caller)"
add reconnect_s "$(value real reconnect_s)"
add node_bytes_s "$(value real node_bytes_s)"
add node_core_share "$(value real node_core_share)"
add added_p99_us "$(value server added_p99_us)"
add tenants_read_ms "$(value server tenants_read_ms)"
add step_ms_before "$(median_at before step_at_rest servers $servers)"
add change_bytes_per_caller_before "$(median_at before one_weight_bytes_sotw servers $servers)"
add lost "$(value real lost)"
add doubled "$(value real doubled)"
echo "$line"
exit $failed
