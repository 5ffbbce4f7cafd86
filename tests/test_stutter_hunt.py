"""Short runs of the hunt with fixed seeds; stutter_hunt.py runs more."""

import os
import subprocess

import pytest

HERE = os.path.dirname(os.path.abspath(__file__))


# 5: ids that name several requests.  33: answers that break off with a copy
# behind them, which callers got as the rest of their own.
@pytest.mark.parametrize("seed", [5, 33])
def test_hunt_seed(build, seed):
    r = subprocess.run(
        ["/usr/bin/python3", os.path.join(HERE, "stutter_hunt.py"), "--build",
         build, "--seed", str(seed), "--seconds", "4"], capture_output=True,
        text=True, timeout=60, check=False)
    assert r.returncode == 0, r.stdout
