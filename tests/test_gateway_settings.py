"""Settings of the gateway, as the platform's templates may fill them in."""

import os
import random
import subprocess

import pytest

from cluster import ROOT

ADDRESSES = """[gateway]
name = vm1
data_centre = z1
front = 127.0.0.1:18080
ready = 127.0.0.1:18081
link = 127.0.0.1:18082
store = 127.0.0.1:18083
"""
BOUNDS = ("retry_ratio", "retry_window_s", "retry_slack", "lease_ms",
          "grace_s")
SEED = 25


def run(build, path):
    return subprocess.run(
        [os.path.join(ROOT, build, "bglade-gateway"), "--check", "--settings",
         str(path)], capture_output=True, text=True, timeout=20, check=False)


def check(build, tmp_path, text):
    path = tmp_path / "g.ini"
    path.write_text(ADDRESSES + text)
    res = run(build, path)
    return res.returncode, res.stderr.replace(str(path), "g.ini")


def test_bounds_in_every_form(build, tmp_path):
    """Guards against a gateway that does not start because a bound is a
    fraction or empty."""
    rng = random.Random(SEED)
    forms = [lambda: str(rng.randint(1, 600)),
             lambda: "%r" % rng.uniform(0.05, 600),
             lambda: "%e" % rng.uniform(1, 600),
             lambda: ""]
    for _ in range(40):
        text = "cpu_share = %s\n[bounds]\n" % rng.choice(forms)()
        for name in BOUNDS:
            if rng.random() < 0.9:
                text += "%s = %s\n" % (name, rng.choice(forms)())
        assert check(build, tmp_path, text) == (0, ""), text


@pytest.mark.parametrize("value, fault", [
    ("soon", "'soon' is not a number"),
    ("-1", "-1 is not in 0 to 1000000"),
    ("nan", "'nan' is not a number"),
    ("1 2", "'1 2' is not a number")])
def test_bound_that_is_no_number(build, tmp_path, value, fault):
    assert check(build, tmp_path, "[bounds]\nretry_slack = %s\n" % value) == (
        2, "g.ini: [bounds] retry_slack: %s\n" % fault)


def test_required_setting_left_empty(build, tmp_path):
    path = tmp_path / "g.ini"
    path.write_text(ADDRESSES.replace("data_centre = z1", "data_centre ="))
    res = run(build, path)
    assert (res.returncode, res.stderr.replace(str(path), "g.ini")) == (
        2, "g.ini: [gateway] data_centre: is empty\n")
