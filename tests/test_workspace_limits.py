"""Rate limits of workspaces, which hold for all gateways together."""

import threading
import time

from cluster import wait_until
from fake_platform import config, routes_with_public, workspace
from platform_cluster import Cluster, ask

KEY = "k-aaaaaaaaaaaaaaaa"
WINDOW_S = 2
LIMIT_SETTINGS = """limit_window_s = %d
limit_excess = 0.1
limit_slack = 4
""" % WINDOW_S
ROUTES = routes_with_public()


def limited_config(version, rate, burst, **more):
    return config(version, ROUTES, workspaces=[
        workspace("alpha", [KEY], rate_per_s=rate, burst=burst, **more),
        workspace("beta", ["k-other"])])



def send_at_rate(gateways, seconds, per_s, key=KEY, tokens=None, **more):
    """Sends PER_S requests per second to GATEWAYS in turn; returns (time,
    status, headers) of each."""
    head = {"X-Api-Key": key}
    if tokens:
        head["X-Token-Count"] = tokens
    answers, lock = [], threading.Lock()

    def one(i):
        at = time.monotonic()
        try:
            status, answer, _, _ = ask(gateways[i % len(gateways)], "read",
                                     headers=head, **more)
        except OSError:
            return
        with lock:
            answers.append((at, status, answer))
    threads = []
    for i in range(int(seconds * per_s)):
        threads.append(threading.Thread(target=one, args=(i,)))
        threads[-1].start()
        time.sleep(1 / per_s)
    for t in threads:
        t.join()
    return answers


def max_in_window(times):
    """The largest number of TIMES in any window of WINDOW_S."""
    return max((sum(1 for t in times if at <= t <= at + WINDOW_S)
                for at in times), default=0)


def admitted_times(answers):
    """Send times of the requests that were answered with 200."""
    return [at for at, status, _ in answers if status == 200]


def test_one_gateway_keeps_the_limit(build):
    """Requests over the limit get 429 with Retry-After; none is refused
    within the limit."""
    with Cluster(build, extra=LIMIT_SETTINGS) as c:
        c.leader()
        c.put_in_force(limited_config(10, 20, 20))
        assert all(s == 200 for _, s, _ in send_at_rate(c.gateways, 3, 12))
        answers = send_at_rate(c.gateways, 5, 80)
        assert {s for _, s, _ in answers} == {200, 429}
        allowed = (20 * WINDOW_S + 20) * 1.1 + 4
        assert max_in_window(admitted_times(answers)) <= allowed
        assert len(admitted_times(answers)) >= 20 * 5 * 0.8
        assert all(0 < float(h["Retry-After"]) < 10
                   for _, s, h in answers if s == 429)
        # Another workspace and public routes are not affected.
        assert all(s == 200
                   for _, s, _ in send_at_rate(c.gateways, 1, 40, "k-other"))
        assert all(s == 200 for _, s, _ in send_at_rate(
            c.gateways, 1, 40, path="/open/x"))


def test_gateways_keep_one_limit_together(build):
    with Cluster(build, gateways=4, extra=LIMIT_SETTINGS) as c:
        c.leader()
        wait_until(c.all_linked)
        c.put_in_force(limited_config(10, 20, 20))
        assert all(s == 200 for _, s, _ in send_at_rate(c.gateways, 3, 12))
        answers = send_at_rate(c.gateways, 6, 80)
        assert max_in_window(admitted_times(answers)) <= (
            20 * WINDOW_S + 20) * 1.1 + 4
        assert len(admitted_times(answers)) >= 20 * 6 * 0.7


def test_limit_holds_when_the_leader_is_lost(build):
    """Gateways keep to the shares that the leader last gave them until
    another VM aggregates the usage."""
    with Cluster(build, gateways=4, extra=LIMIT_SETTINGS) as c:
        wait_until(c.all_linked)
        c.put_in_force(limited_config(10, 20, 20))
        lost = c.leader()
        others = [g for g in c.gateways if g is not lost]
        threading.Timer(2, lost.proc.kill).start()
        answers = send_at_rate(others, 8, 80)
        assert max_in_window(admitted_times(answers)) <= (
            20 * WINDOW_S + 20) * 1.1 + 4
        assert len(admitted_times(answers)) >= 20 * 8 * 0.5


def test_limit_in_tokens(build):
    """A request counts its prompt tokens and the maximum of its answer; one
    that declares none counts plain_tokens of its workspace."""
    with Cluster(build, extra=LIMIT_SETTINGS.replace(
            "slack = 4", "slack = 0")) as c:
        c.leader()
        c.put_in_force(limited_config(10, 1000, 1000, unit="token_budget",
                                      plain_tokens=500))
        plain = send_at_rate(c.gateways, 4, 20)
        assert max_in_window(admitted_times(plain)) <= 3000 * 1.1 / 500
        time.sleep(2)
        declared = send_at_rate(c.gateways, 4, 40, tokens="80,20")
        peak = max_in_window(admitted_times(declared))
        assert 2000 * 0.8 / 100 <= peak <= 3000 * 1.1 / 100


def test_refused_request_gets_its_credit_back(build):
    """Upstreams refuse all requests as not run: these don't count, so requests
    are admitted as soon as the upstreams accept them again."""
    with Cluster(build, extra=LIMIT_SETTINGS) as c:
        c.leader()
        c.put_in_force(limited_config(10, 2, 4))

        def shed(_engine, h, _rid):
            h.reply(503, {}, {"X-Not-Executed": "1"})
            return True
        for app in c.apps:
            app.on_request = shed
        assert {s for _, s, _ in send_at_rate(c.gateways, 2, 3)} == {503}
        for app in c.apps:
            app.on_request = None
        assert [s for _, s, _ in send_at_rate(
            c.gateways, 0.1, 40)] == [200] * 4


def test_limit_is_lowered_and_taken_away(build):
    with Cluster(build, gateways=2, extra=LIMIT_SETTINGS) as c:
        c.leader()
        wait_until(c.all_linked)
        c.put_in_force(limited_config(10, 200, 200))
        assert all(s == 200 for _, s, _ in send_at_rate(c.gateways, 2, 40))
        c.put_in_force(limited_config(12, 5, 5))
        time.sleep(0.5)
        answers = send_at_rate(c.gateways, 5, 40)
        assert max_in_window(admitted_times(answers)) <= (
            5 * WINDOW_S + 5) * 1.1 + 4
        c.put_in_force(limited_config(14, 0, 0))
        time.sleep(0.5)
        assert all(s == 200 for _, s, _ in send_at_rate(c.gateways, 2, 40))
