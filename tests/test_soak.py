"""A short run of the soak with fixed seeds; longer ones by hand (soak.py)."""

import os
import subprocess

import pytest

HERE = os.path.dirname(os.path.abspath(__file__))

# 109, 126: versions written just before the look at them; the check looked
# too early.  200: a process was restarted between two SIGTERMs, and the soak
# waited for the end of one that got none.
# 507: a process got SIGHUP in its first ms, died of it, and was not started
# again as the platform does.
SEEDS = [1, 109, 126, 200, 507]


@pytest.mark.parametrize("seed", SEEDS)
def test_soak_seed(build, seed):
    r = subprocess.run(
        ["/usr/bin/python3", os.path.join(HERE, "soak.py"), "--build", build,
         "--seed", str(seed), "--seconds", "8"], capture_output=True,
        text=True, timeout=120, check=False)
    assert r.returncode == 0, r.stdout
