# Sourced by the run.sh of each case, which has set CASE and RECORD. Runs the case from the root with a temporary folder.
set -u
cd "$here/../.." || exit 2
program="target/review-2/case-$CASE"
[ -x "$program" ] || { echo "could not run: build first: review/build-2.sh"; exit 2; }
RUN_COMMAND=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/balancer.toml)
[ -n "$RUN_COMMAND" ] || { echo "could not run: deploy/balancer.toml has no run"; exit 2; }
FOLDER=$(mktemp -d) || exit 2
end() {
    [ -f "$FOLDER/pid" ] && kill -9 "$(cat "$FOLDER/pid")" 2>/dev/null
    rm -rf "$FOLDER"
}
trap end EXIT
trap 'exit 2' HUP INT TERM
export RUN_COMMAND FOLDER RECORD TROUBLE="${TROUBLE:-1}"
timeout -k 5 115 "$program"
code=$?
case $code in
    0 | 1) exit $code ;;
    *) exit 2 ;;
esac
