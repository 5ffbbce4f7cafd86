"""Limits that upstreams name, which hold over all gateways together."""

from cluster import wait_until
from platform_cluster import Cluster, ask


def test_a_named_limit_is_logged(build):
    """Guards against a limit that nobody can see in the logs: begun, changed,
    not readable, ended."""
    with Cluster(build, models=(("m0",),)) as c:
        g, engine = c.gateways[0], c.engines[0]
        for named in (None, "40", "60.5", "x", ["7", "7"], "60.5", None):
            engine.rate_limit = named
            assert ask(g, "chat", "m0")[0] == 200
        wait_until(lambda: len(g.events("upstream-limit")) == 4)
        assert [(e["what"], e.get("text"), e.get("limit_per_1000_s"))
                for e in g.events("upstream-limit")] == [
                    ("named", None, 40000), ("changed", None, 60500),
                    ("not read", "x", 60500), ("ended", None, None)]
