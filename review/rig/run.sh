# Common part of the cases' run.sh, which sets CASE_FOLDER and RECORD and sources this file.
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
root=$(cd "$CASE_FOLDER/../.." && pwd)
export CASE_FOLDER RECORD TROUBLE=${TROUBLE:-1}
number=$(basename "$CASE_FOLDER")
driver=
TEST_FOLDER=
cleanup() {
  if [ -n "$driver" ]; then # interrupted: the driver ends its nodes
    kill -TERM -- "-$driver" 2>/dev/null
    wait "$driver" 2>/dev/null
  fi
  [ -n "$TEST_FOLDER" ] && rm -rf "$TEST_FOLDER"
}
trap cleanup EXIT
trap 'exit 2' INT TERM HUP
cannot_run() {
  echo "the case could not run: $1" | tee -a "$RECORD"
  exit 2
}
echo "case $number, $(date -u '+%Y-%m-%d %H:%M:%S') UTC, TROUBLE=$TROUBLE" >"$RECORD" || exit 2
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' "$root/deploy/balancer.toml")
[ -n "$RUN_COMMAND" ] || cannot_run "the deploy file has no run command"
[ -x "$root/review/bin/case-$number" ] || cannot_run "run review/build.sh first"
TEST_FOLDER=$(mktemp -d) || cannot_run "no temporary folder"
export RUN_COMMAND TEST_FOLDER
cd "$root" || cannot_run "no $root"
set -m # a process group of its own for the driver
timeout --signal=KILL 118 "review/bin/case-$number" &
driver=$!
set +m
wait "$driver"
status=$?
if [ "$status" -gt 2 ]; then
  tail -n 5 "$TEST_FOLDER"/*.log >>"$RECORD" 2>/dev/null
  cannot_run "the driver ended with status $status"
fi
driver=
exit "$status"
