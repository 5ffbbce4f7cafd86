"""Nobody reads the log.  Not a case: see "Further faults" in REPORT.md.

Three gateways stand before an application server; standard output and standard
error of each go to one pipe, as to a collector of logs.  With TROUBLE=1 nobody
reads it.  The store is silent for 4.5 s, five times (platform_down), so that the
lease lapses; each time clients ask 4 s after it is back.

Exit: 1 if a gateway's process runs and answered none of them at the end; 0 if
all did; 2 if it could not run.
"""

import asyncio
import os
import subprocess
import sys
import tempfile
import threading

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(HERE)
sys.path[:0] = [os.path.join(HERE, "5"), os.path.join(ROOT, "tests")]
sys.dont_write_bytecode = True

import case                                   # noqa: E402
from cluster import free_port                 # noqa: E402
from fake_platform import Store               # noqa: E402

REQUESTS = 600        # at each gateway, first: their log lines fill the pipe
OUTAGES, BACK_S = 5, 4.0


class Gateway(case.Gateway):
    """Its log goes to a pipe."""

    def __init__(self, folder, nth, proxy):
        super().__init__(folder, nth, proxy)
        self.stop()
        self.proc = subprocess.Popen(
            [os.path.join(ROOT, "target/bglade-gateway")], cwd=ROOT,
            env={"PATH": os.environ.get("PATH", ""), "BITTERNGLADE_SETTINGS":
                 os.path.join(folder, "settings%d.ini" % nth)},
            stdout=subprocess.PIPE, stderr=subprocess.STDOUT)
        if not case.TROUBLE:
            threading.Thread(target=self.proc.stdout.read,
                             daemon=True).start()

    async def ask(self, nth):
        try:
            status, _ = await asyncio.wait_for(case.fetch(
                self.ports["front"], "/old/x",
                "X-Attempt-Id: %016x\r\nX-Deadline-Ms: 2500\r\n" % nth,
                "POST"), 4)
            return status
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return None


async def play(store):
    server = case.Server("i-0001", "ledger", store)
    await server.start()
    store.put_config(case.make_config(3, ["old"], "ledger"))
    proxies = [case.StoreProxy(store.port) for _ in range(3)]
    for p in proxies:
        await p.start()
    with tempfile.TemporaryDirectory(prefix="bglade-review-") as folder:
        gateways = [Gateway(folder, i, p) for i, p in enumerate(proxies)]
        beats = asyncio.create_task(case.beat([server]))
        try:
            async def ready():
                return all([(await g.dump())["ready"] for g in gateways])
            if not await case.wait_until(ready):
                return None
            await asyncio.sleep(2)
            for i in range(REQUESTS):
                if [await g.ask(i) for g in gateways] != [200] * 3:
                    return None
            for i in range(OUTAGES):
                for p in proxies:
                    p.silent = True
                await asyncio.sleep(case.SILENT_S)
                for p in proxies:
                    p.silent = False
                await asyncio.sleep(BACK_S)
                answers = [await g.ask(REQUESTS + i) for g in gateways]
                print("after outage %d: %s" % (i + 1, answers), flush=True)
            return [a is None and g.proc.poll() is None
                    for a, g in zip(answers, gateways)]
        finally:
            beats.cancel()
            for g in gateways:
                g.stop()


def main():
    store = Store(free_port())
    hung = asyncio.run(play(store))
    store.stop()
    print("could not run" if hung is None else "gateways that hang: %d" %
          sum(hung))
    return 2 if hung is None else int(any(hung))


if __name__ == "__main__":
    sys.exit(main())
