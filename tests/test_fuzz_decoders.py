"""Decoders of what others write, fed with changed inputs under the sanitizers.
By hand: build/sanitized/fuzz_decoders SEED RUNS."""

import os
import subprocess

import pytest

RUNS = 60000   # of one seed


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_decoders_bear_any_input(build, seed):
    done = subprocess.run(
        [os.path.join(build, "sanitized", "fuzz_decoders"), str(seed),
         str(RUNS)], capture_output=True, text=True, timeout=300, check=False)
    assert done.stdout == "%d runs, no fault\n" % RUNS, done.stderr[-2000:]
    assert done.returncode == 0
