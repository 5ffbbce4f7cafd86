"""Short runs of the soak with fixed seeds; soak.py runs longer ones."""

import os
import subprocess

import pytest

HERE = os.path.dirname(os.path.abspath(__file__))

# All but seed 1 once failed for faults of the soak itself.
# 109, 126: a version was written just before the check, which did not wait
# for it.  200: a process was restarted between two SIGTERMs, and the soak
# waited for the exit of a process that had got none.
# 507: SIGHUP in its first millisecond ended a process, which the soak did not
# restart as the platform does.
SEEDS = [1, 109, 126, 200, 507]


# With upstreams that name limits.  8 failed once for a fault of the soak: an
# engine that shed a request did not name its limit in that answer.  8 and 45:
# SIGTERM came before the process had installed its handlers.
LIMIT_SEEDS = [1, 8, 45]


# 28 failed once for a fault of the soak: its upstreams still broke off when it
# asked with copies of one request whether all is served again.
FRAMING_SEEDS = [1, 2, 28]


VERSION_SEEDS = [1, 2, 3]


PART_SEEDS = [1, 3]


# 402 and 404: registrations ran twice, and callers got an upstream's report.
PROCESS_SEEDS = [402, 404]


def run_soak(build, seed, *more):
    r = subprocess.run(
        ["/usr/bin/python3", os.path.join(HERE, "soak.py"), "--build", build,
         "--seed", str(seed), *more], capture_output=True,
        text=True, timeout=120, check=False)
    assert r.returncode == 0, r.stdout


@pytest.mark.parametrize("seed", SEEDS)
def test_soak_seed(build, seed):
    run_soak(build, seed, "--seconds", "8")


@pytest.mark.parametrize("seed", LIMIT_SEEDS)
def test_soak_seed_with_limits(build, seed):
    run_soak(build, seed, "--seconds", "14", "--limits")


# With upstreams that answer in any framing and break off anywhere.
@pytest.mark.parametrize("seed", FRAMING_SEEDS)
def test_soak_seed_with_framings(build, seed):
    run_soak(build, seed, "--seconds", "10", "--framings")


# With engines that change their software version, and callers that come back.
@pytest.mark.parametrize("seed", VERSION_SEEDS)
def test_soak_seed_with_versions(build, seed):
    run_soak(build, seed, "--seconds", "12", "--versions")


# With parts of prompts that end each engine that begins an answer on them.
@pytest.mark.parametrize("seed", PART_SEEDS)
def test_soak_seed_with_parts(build, seed):
    run_soak(build, seed, "--seconds", "14", "--parts")


# With upstreams that are processes, too, and send answers twice.
@pytest.mark.parametrize("seed", PROCESS_SEEDS)
def test_soak_seed_with_processes(build, seed):
    run_soak(build, seed, "--seconds", "10", "--processes", "--spoil", "0.1")


@pytest.mark.parametrize("seed", PROCESS_SEEDS)
def test_soak_seed_with_processes_and_cuts(build, seed):
    run_soak(build, seed, "--seconds", "10", "--processes", "--cuts")
