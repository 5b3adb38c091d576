#!/usr/bin/env bash
# Start a platform, three targets and two proxies on loopback; Ctrl-C ends them.
set -euo pipefail
cd "$(dirname "$0")"
bin=${BIN:-../../.venv/bin}
standin="$bin/rosemaryridge-standin"
trap 'kill $(jobs -p) 2>/dev/null; wait' EXIT
trap 'exit 0' INT TERM
$standin platform --port 7400 &
$standin target --name t1 --port 7401 --admin-port 7411 &
echo $! > t1.pid
sleep 2
$standin target --name t2 --port 7402 --admin-port 7412 --follow 127.0.0.1:7401 &
$standin target --name t3 --port 7403 --admin-port 7413 --follow 127.0.0.1:7401 &
"$bin/rosemaryridge-publish" publish --yes --platform http://127.0.0.1:7400 .
"$bin/rosemaryridge-proxy" --settings p1.settings.json 2>p1.log &
"$bin/rosemaryridge-proxy" --settings p2.settings.json 2>p2.log &
echo "up; Ctrl-C ends it"
wait
