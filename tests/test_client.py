"""bglade, the operators' client: its messages and exit codes match what
happened, and no change of another operator is overwritten."""

import json
import os
import re
import subprocess
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest

from cluster import ROOT, Cluster, wait_until
from configs import accepted, publish, revise, write_template

OPERATOR_KEY = "operators-key"


@pytest.fixture(scope="module")
def cluster(build):
    import hashlib
    digest = hashlib.sha256(OPERATOR_KEY.encode()).hexdigest()
    node = {"node": {"operator_key_sha256": digest}}
    with Cluster(build, vms_per_centre=2, engines=[], services=[],
                 settings={"router": node, "placer": node}) as c:
        yield c


def test_conflict_shows_who_changed_what(cluster):
    """Two operators revise the same version.  The second one gets a
    conflict, with the author and the diff of the first one's change, which
    stays in force."""
    base = publish(cluster, "shared", priority=3)
    paths = write_template(cluster.dir, "shared", priority=4)
    first = accepted(cluster.bglade("revise", "--base", base, "--author",
                                    "mitali", "--note", "four", *paths))
    paths = write_template(cluster.dir, "shared", priority=5)
    res = cluster.bglade("revise", "--base", base, "--author", "tuula",
                         *paths, check=False)
    assert res.returncode == 3
    assert "mitali: four" in res.stdout
    assert "-priority = 3\n+priority = 4\n" in res.stdout
    assert "--base %d" % first in res.stdout
    res = cluster.bglade("--json", "revise", "--base", base, *paths,
                         check=False)
    doc = json.loads(res.stdout)
    assert (doc["outcome"], doc["exit"]) == ("conflict", 3)
    assert [v["author"] for v in doc["changes"]] == ["mitali"]
    assert "priority = 4" in cluster.bglade("show", "shared").stdout


def test_history_diff_and_rollback(cluster):
    v1 = publish(cluster, "past", priority=1)
    v2 = revise(cluster, "past", v1, priority=2)
    v3 = accepted(cluster.bglade("rollback", "past", "--to", v1))
    assert v3 > v2
    doc = json.loads(cluster.bglade("--json", "history", "past").stdout)
    assert [v["version"] for v in doc] == [v1, v2, v3]
    out = cluster.bglade("diff", "past", v1, v2).stdout
    assert out == "@@ 9\n-priority = 1\n+priority = 2\n"
    assert cluster.bglade("diff", "past", v1, v3).stdout == ""
    assert cluster.bglade("rollback", "past", "--to", 999999,
                          check=False).returncode == 2
    assert "priority = 2" in cluster.bglade("show", "past", "--to",
                                            v2).stdout


def test_publish_of_a_taken_name_conflicts(cluster):
    publish(cluster, "taken")
    res = cluster.bglade("publish", *write_template(cluster.dir, "taken"),
                         check=False)
    assert res.returncode == 3 and "not accepted" in res.stderr


def test_status_from_any_process(cluster):
    """A router and a placer, of different data centres, each list every
    process of both data centres."""
    version = publish(cluster, "everywhere")
    names = {"%s" % d for d in cluster.daemons()}
    for name in ("dc1-vm1-router", "dc2-vm2-placer"):
        at = "127.0.0.1:%d" % cluster.port(name)
        res = cluster.bglade("--json", "--at", at, "--wait", 10, "status")
        doc = json.loads(res.stdout)
        assert doc["wanted_version"] == version
        assert doc["in_force_everywhere"] is True
        listed = {n["node"].rsplit("-", 1)[0] for n in doc["nodes"]}
        assert listed == names
        assert all(n["config_version"] == version and n["age_ms"] < 6000
                   for n in doc["nodes"])


def test_status_wait_lists_processes_that_are_behind(cluster):
    """status waits for a version that does not exist: it fails after the
    timeout and marks every process as behind."""
    at = "127.0.0.1:%d" % cluster.port("dc1-vm1-router")
    res = cluster.bglade("--at", at, "--wait", 1, "--to", 10 ** 9, "status",
                         check=False)
    assert res.returncode == 1
    assert res.stdout.count("BEHIND") == len(cluster.daemons())
    assert "not in force everywhere" in res.stdout


def test_two_operators_race(cluster):
    """Two operators revise one version at the same moment, again and again.
    Each time exactly one is accepted, the other gets a conflict that names
    the winner, and the winner's text is in force."""
    base = publish(cluster, "raced", priority=0)
    ready = threading.Barrier(2)

    def run(author, paths):
        ready.wait()
        res = cluster.bglade("revise", "--base", base, "--author", author,
                             *paths, check=False)
        return author, res

    for i in range(20):
        sides = []
        for k, author in enumerate(("mitali", "tuula")):
            folder = os.path.join(cluster.dir, author)
            os.makedirs(folder, exist_ok=True)
            sides.append((author, write_template(
                folder, "raced", priority=(2 * i + k) % 10)))
        with ThreadPoolExecutor(2) as pool:
            results = list(pool.map(lambda s: run(*s), sides))
        codes = sorted(r.returncode for _, r in results)
        assert codes == [0, 3], [r.stderr for _, r in results]
        winner = [e for e in results if e[1].returncode == 0][0]
        loser = [e for e in results if e[1].returncode == 3][0]
        assert "%s" % winner[0] in loser[1].stdout
        shown = json.loads(cluster.bglade("--json", "show", "raced").stdout)
        assert shown[0]["author"] == winner[0]
        base = shown[0]["version"]
    assert base > 20


def test_lost_acknowledgement(cluster):
    """The append takes effect but its acknowledgement is lost.  The client
    reads the log until it finds its batch, reports it as accepted, and only
    one version exists."""
    cluster.set_faults("log", drop_acks=1)
    version = publish(cluster, "unacked")
    assert cluster.set_faults("log")["drop_acks"] == 0
    doc = json.loads(cluster.bglade("--json", "history", "unacked").stdout)
    assert [v["version"] for v in doc] == [version]


def test_publish_while_the_log_is_down(cluster):
    """The log refuses every append.  The client reports a failure (exit 1),
    and the template does not appear later either."""
    paths = write_template(cluster.dir, "never")
    cluster.set_faults("log", down=True)
    res = cluster.bglade("publish", "--settle", 4, *paths, check=False)
    cluster.set_faults("log", down=False)
    assert res.returncode == 1, res.stderr
    assert cluster.bglade("show", "never", check=False).returncode == 2


def test_publish_without_acknowledgement_in_an_outage(build):
    """The append takes effect, its acknowledgement is lost, and then the log
    is down.  The client must not report a failure but that the result is not
    known (exit 4): the template exists when the log is back."""
    with Cluster(build, centres=("dc1",), vms_per_centre=1, engines=[],
                 services=[]) as c:
        # The claim must be over, so that the publish is the next append.
        wait_until(lambda: c.owner("dc1"), 15, "owner")
        c.set_faults("log", down_after_appends=1, drop_acks=1)
        paths = write_template(c.dir, "perhaps")
        res = c.bglade("publish", "--settle", 4, *paths, check=False)
        assert res.returncode == 4, (res.returncode, res.stderr)
        assert "may take effect yet" in res.stderr
        c.set_faults("log", down=False)
        assert c.bglade("show", "perhaps").returncode == 0


def test_drain_needs_the_operators_key(cluster):
    name = "dc2-vm2-router"
    at = "127.0.0.1:%d" % cluster.port(name)
    path = os.path.join(cluster.dir, "key")
    for text, code in (("wrong", 1), (OPERATOR_KEY, 0)):
        with open(path, "w", encoding="utf-8") as f:
            f.write(text + "\n")
        res = cluster.bglade("drain", "--key-file", path, at, check=False)
        assert res.returncode == code
        assert cluster.procs[name].is_running() or code == 0
    proc = cluster.procs[name]
    wait_until(lambda: not proc.is_running(), 15, "stop")
    assert proc.popen.returncode == 0
    cluster.start_daemon("dc2-vm2", "router")
    cluster.wait_ready()


def test_help_of_each_command(build):
    path = os.path.join(ROOT, build, "bglade")
    for word in ("check publish revise rollback show history diff status "
                 "dump drain help").split():
        res = subprocess.run([path, "help", word], capture_output=True,
                             text=True, timeout=20, check=False)
        assert res.returncode == 0 and "bglade" in res.stdout
    res = subprocess.run([path, "--bogus"], capture_output=True, text=True,
                         timeout=20, check=False)
    assert res.returncode == 2


LOSSES_LOG = """\
{"t_ms":1000,"node":"a","event":"order-end","op":"load","model":"m","status":202}
{"t_ms":2000,"node":"a","event":"request-waits","id":"1","for":"model","model":"m"}
{"t_ms":5000,"node":"b","event":"order-end","op":"load","model":"m","status":202}
{"t_ms":5500,"node":"a","event":"request-sent","id":"1","upstream":"u1"}
{"t_ms":6000,"node":"a","event":"request-end","id":"1","outcome":"answered",\
"route":"r","model":"m","late":"first byte","waited_for":"model"}
{"t_ms":6100,"node":"a","event":"request-end","id":"2","outcome":"answered",\
"route":"r","model":"m","late":"pause","gap_upstream":"u1"}
{"t_ms":6200,"node":"a","event":"request-end","id":"3","outcome":"answered",\
"route":"r","model":"m"}
not a line of ours
{"t_ms":6300,"node":"a","event":"request-end","id":"4","outcome":"refused",\
"route":"r","model":"m","why":"too many wait"}
{"t_ms":6400,"node":"a","event":"request-end","id":"5","outcome":"limited",\
"route":"s","workspace":"w","why":"over the workspace's limit"}
{"t_ms":6500,"node":"a","event":"request-end","id":"6","outcome":"answered",\
"route":"s","workspace":"w"}
"""

LOSSES_OUTPUT = """\
no order for 4000 ms until 5000
route r: 4 requests
        1  in time
        1  late by first byte, waited for model
        1  late by pause
        1  refused: too many wait
route s: 2 requests
        1  in time
        1  limited: over the workspace's limit
workspace w: 2 requests
        1  in time
        1  limited: over the workspace's limit
upstreams, by streams that paused too long there
        1  u1
models, by callers that waited for them or were refused
  m: 1 waited, median %d ms, 95 in 100 %d ms; 1 refused
"""


def test_losses(build, tmp_path):
    """Logs of two VMs: a model was loaded only after a period without orders,
    a stream paused too long, a request was refused, one was limited."""
    log = tmp_path / "log"
    log.write_text(LOSSES_LOG)
    res = subprocess.run([os.path.join(build, "bglade"), "losses", str(log)],
                         capture_output=True, text=True, timeout=10,
                         check=False)
    assert res.returncode == 0
    # Values of a histogram are at most an eighth too high.
    waits = [int(w) for w in re.findall(r"(\d+) ms[,;]", res.stdout)]
    assert all(3500 <= w <= 3500 * 9 // 8 for w in waits), res.stdout
    assert res.stdout == LOSSES_OUTPUT % tuple(waits)
    res = subprocess.run([os.path.join(build, "bglade"), "losses",
                          str(tmp_path / "none")], capture_output=True,
                         text=True, timeout=10, check=False)
    assert res.returncode == 2


TIMELINE_LOG = """\
{"t_ms":1000,"node":"a","event":"lease-held","token":1}
{"t_ms":1100,"node":"a","event":"order-end","op":"load","status":202,"end":0}
{"t_ms":1200,"node":"a","event":"order-end","op":"load","status":409,"end":2}
{"t_ms":1300,"node":"a","event":"order-end","op":"load","status":0,"end":4}
{"t_ms":1400,"node":"a","event":"order-end","op":"load","status":0,"end":5}
{"t_ms":1500,"node":"b","event":"request-end","outcome":"answered"}
{"t_ms":3100,"node":"b","event":"request-end","outcome":"answered","late":"pause"}
{"t_ms":3200,"node":"b","event":"request-end","outcome":"refused"}
{"t_ms":3300,"node":"b","event":"request-end","outcome":"limited"}
{"t_ms":7100,"node":"b","event":"loop-late","late_ms":400}
{"t_ms":7200,"node":"b","event":"placer-lost"}
{"t_ms":7300,"node":"b","event":"lease-held","token":9}
"""


def test_timeline(build, tmp_path):
    """Each row counts the events of two seconds; rows without events are
    printed too."""
    log = tmp_path / "log"
    log.write_text(TIMELINE_LOG)
    res = subprocess.run([os.path.join(build, "bglade"), "timeline", str(log)],
                         capture_output=True, text=True, timeout=10,
                         check=False)
    assert res.returncode == 0
    rows = [line.split() for line in res.stdout.splitlines()]
    assert [r[0] for r in rows] == ["seconds", "0.0", "2.0", "4.0", "6.0"]
    seen = [{t: n for t, n in zip(rows[0], r) if n != "0" and t != "seconds"}
            for r in rows[1:]]
    assert seen == [
        {"in-time": "1", "taken": "1", "conflict": "1", "unsent": "1",
         "noans": "1", "began": "a"},
        {"late": "1", "refused": "2"}, {},
        {"unlinked": "1", "lateloop": "1", "began": "b"}]
