"""The demo: two data centres with two VMs each on loopback, with the sample
configurations of the Samiti and Kuura.  Sends requests to a cold and a warm
model and to a plain service, and prints the result and time of each."""

import argparse
import time

from cluster import Cluster, wait_until


def show(what, call):
    start = time.monotonic()
    answer = call()
    print("%-42s %d %-10s %7.1f ms" % (
        what, answer.status, answer.outcome,
        (time.monotonic() - start) * 1000))
    assert answer.status == 200, answer.body


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", default="build")
    args = parser.parse_args()
    with Cluster(args.build) as c:
        c.publish_samples()
        for centre in c.centres:
            wait_until(lambda k=centre: c.owner(k), 15, "owner of " + centre)
        print(c.bglade("show").stdout, end="")
        show("Samiti, bulletin-draft, cold", lambda: c.complete(
            "dc1-vm1-router", "drafting", "bulletin-draft", "bulletin"))
        show("Samiti, bulletin-draft, warm", lambda: c.complete(
            "dc1-vm2-router", "drafting", "bulletin-draft", "bulletin"))
        show("Samiti, bulletin-draft, warm, streamed", lambda: c.complete(
            "dc2-vm1-router", "drafting", "bulletin-draft", "bulletin",
            stream=True))
        show("Samiti, adapter nadia-filings", lambda: c.complete(
            "dc1-vm1-router", "drafting", "nadia-filings", "plots"))
        show("Kuura, feeding-plan, cold", lambda: c.complete(
            "dc2-vm2-router", "care", "feeding-plan", "plan"))
        show("Kuura, order-status (plain service)", lambda: c.ask(
            "dc2-vm1-router", "care", "/v1/services/order-status/7", {}))
    print("all processes are stopped")


if __name__ == "__main__":
    main()
