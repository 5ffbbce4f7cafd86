"""Settings and templates are checked completely before anything starts."""

import os
import subprocess

from cluster import ROOT

SETTINGS = """[node]
name = vm1
data_centre = dc1
http = 127.0.0.1:18080
[log]
address = 127.0.0.1:18081
[peers]
listen = 127.0.0.1:18082
shared_key = k
"""


def run(build, tmp_path, text, *args):
    path = tmp_path / "r.ini"
    path.write_text(text)
    res = subprocess.run(
        [os.path.join(ROOT, build, "bglade-router"), "--config", str(path),
         *args], capture_output=True, text=True, timeout=20, check=False)
    return res.returncode, res.stdout, res.stderr.replace(str(path), "r.ini")


def test_good_settings(build, tmp_path):
    assert run(build, tmp_path, SETTINGS, "--check") == (
        0, "settings are good\n", "")


def test_every_fault_is_listed(build, tmp_path):
    text = SETTINGS.replace("name = vm1\n", "").replace(
        "127.0.0.1:18081", "localhost") + (
        "heartbeat_ms = soon\nsilence_ms = 1\nspeed = 3\n[colour]\nx = 1\n")
    code, out, err = run(build, tmp_path, text, "--check")
    assert (code, out) == (2, "")
    assert err.splitlines() == [
        "r.ini: [log] address: 'localhost' is not IP:PORT",
        "r.ini: [peers] heartbeat_ms: 'soon' is not a whole number",
        "r.ini: [peers] silence_ms: 1 is not in 50 to 600000",
        "r.ini: [peers] speed: unknown key",
        "r.ini: [colour]: unknown section",
        "r.ini: [node] name: is missing"]


def test_help_and_version(build):
    for name in ("bglade-router", "bglade-placer", "bglade"):
        path = os.path.join(ROOT, build, name)
        for flag in ("--help", "--version"):
            res = subprocess.run([path, flag], capture_output=True,
                                 text=True, timeout=20, check=False)
            assert res.returncode == 0 and res.stdout


def test_sample_templates_are_good(build):
    path = os.path.join(ROOT, build, "bglade")
    res = subprocess.run(
        [path, "check", "samples/samiti.ini", "samples/samiti-drafting.ini",
         "samples/samiti-registry.ini"], capture_output=True, text=True,
        timeout=20, check=False, cwd=ROOT)
    assert (res.returncode, res.stdout) == (
        0, "samiti: template and 2 workspaces are good\n")


def test_template_faults_are_listed(build, tmp_path):
    tpl = tmp_path / "t.ini"
    tpl.write_text("[template]\nname = t\n[parameters]\np = required\n"
                   "[upstreams u]\nkind = engine\n"
                   "[model m]\nupstreams = v\nmemory_mb = much\n"
                   "[adapter a]\nbase = b\n[workspace]\npriority = ${p}\n"
                   "models = m, z\n")
    values = tmp_path / "v.ini"
    values.write_text("[workspace]\nname = w\ntemplate = t\n"
                      "keys_sha256 = short\n[values]\nq = 1\n")
    res = subprocess.run(
        [os.path.join(ROOT, build, "bglade"), "check", str(tpl),
         str(values)], capture_output=True, text=True, timeout=20,
        check=False)
    assert res.returncode == 2
    assert res.stderr.splitlines() == [
        "t: [model m] memory_mb: 'much' is not a whole number",
        "w: [values] q: the template has no such parameter",
        "w: [workspace] priority: no value for parameter 'p'",
        "w: [workspace] priority: '' is not a whole number",
        "w: [workspace] keys_sha256: 'short' is not a SHA-256",
        "t: [a] base: no [model b]",
        "t: [m] upstreams: no [upstreams v]",
        "w: [workspace] models: no 'z'"]
