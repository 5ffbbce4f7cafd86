"""Logging never blocks a process: a log that nobody reads, that is closed, or
that is read again later."""

import json
import os
import subprocess
import time

import pytest

from cluster import wait_until
from platform_cluster import Cluster, ask

REQUESTS = 400   # their lines fill a pipe
WARNINGS = 200


class Logged:
    """A gateway whose standard output and error go to one pipe."""

    def __init__(self, cluster):
        self.cluster, self.gateway = cluster, cluster.gateways[0]
        self.gateway.stop()
        self.reader, writer = os.pipe()
        self.gateway.proc = subprocess.Popen(
            [self.gateway.program, "--settings", self.gateway.settings],
            stdout=writer, stderr=writer)
        os.close(writer)
        wait_until(self.gateway.is_ready)

    def fill(self):
        """Lines of both kinds, of requests and of warnings."""
        for i in range(REQUESTS):
            assert ask(self.gateway, "read", body=b"%d" % i)[0] == 200
        for _ in range(WARNINGS):
            self.cluster.store.put("keyed.op", "config", b"no configuration")
        time.sleep(1)

    def check_serves(self):
        began = time.monotonic()
        for i in range(20):
            assert ask(self.gateway, "pay", body=b"%d" % i)[0] == 200
        assert time.monotonic() - began < 2


def read_lines(fd, until):
    """Whole lines, until UNTIL(text) or 5 s are over."""
    os.set_blocking(fd, False)
    data, end = b"", time.monotonic() + 5
    while time.monotonic() < end and not until(data):
        try:
            data += os.read(fd, 65536)
        except BlockingIOError:
            time.sleep(0.02)
    return data


# The loop's thread blocked in its write to standard error, for good.
def test_log_that_nobody_reads(build):
    with Cluster(build, models=(), apps=1) as c:
        log = Logged(c)
        log.fill()
        log.check_serves()
        assert log.gateway.metric("log_lines_dropped_total") > 0
        # Read again: whole lines, and how many are missing.
        for _ in range(3):
            c.store.put("keyed.op", "config", b"no configuration")
        data = read_lines(log.reader, lambda d: (
            b"lines were dropped" in d and b"log-dropped" in d))
        c.store.put("keyed.op", "config", b"no configuration")
        ask(log.gateway, "read")
        data += read_lines(log.reader, lambda d: b"lines were dropped" in d)
        assert b"lines were dropped" in data
        for line in data.decode().split("\n")[:-1]:
            if line.startswith("{"):
                json.loads(line)
            else:
                assert line.startswith(("20", "log: ")), line
        log.check_serves()
        os.close(log.reader)


@pytest.mark.parametrize("filled", [False, True])
def test_log_that_is_closed(build, filled):
    with Cluster(build, models=(), apps=1) as c:
        log = Logged(c)
        if filled:
            log.fill()
        os.close(log.reader)
        if not filled:
            log.fill()
        log.check_serves()
        log.gateway.proc.terminate()
        assert log.gateway.proc.wait(10) == 0


# It stops in time, with lines left that nobody takes.
def test_stop_with_a_log_that_nobody_reads(build):
    with Cluster(build, models=(), apps=1) as c:
        log = Logged(c)
        log.fill()
        log.gateway.proc.terminate()
        assert log.gateway.proc.wait(10) == 0
        os.close(log.reader)
