"""Helpers for tests of the configuration: writes and publishes small
templates, and decodes entries of the log."""

import base64
import hashlib
import os
import re


def write_template(folder, name, priority=5, adapters=0, workspaces=1,
                   padding=0):
    """Writes a template and its values files; returns their paths.  padding:
    count of comment lines of 1000 bytes, to make the template large."""
    lines = ["[template]", "name = " + name, "[upstreams %s-u]" % name,
             "kind = engine", "[model %s-m]" % name,
             "upstreams = %s-u" % name, "memory_mb = 10"]
    for i in range(adapters):
        lines += ["[adapter %s-a%d]" % (name, i), "base = %s-m" % name]
    lines += ["[workspace]", "priority = %d" % priority]
    lines += ["# " + "x" * 998] * padding
    paths = [os.path.join(folder, name + ".ini")]
    with open(paths[0], "w", encoding="utf-8") as f:
        f.write("\n".join(lines) + "\n")
    for i in range(workspaces):
        workspace = "%s-w%d" % (name, i)
        digest = hashlib.sha256(workspace.encode()).hexdigest()
        paths.append(os.path.join(folder, workspace + ".ini"))
        with open(paths[-1], "w", encoding="utf-8") as f:
            f.write("[workspace]\nname = %s\ntemplate = %s\n"
                    "keys_sha256 = %s\n" % (workspace, name, digest))
    return paths


def accepted(res):
    """The version that a publish or revise printed."""
    return int(re.search(r"version (\d+) is accepted", res.stdout).group(1))


def publish(cluster, name, **kinds):
    return accepted(cluster.bglade(
        "publish", *write_template(cluster.dir, name, **kinds)))


def revise(cluster, name, base, **kinds):
    return accepted(cluster.bglade(
        "revise", "--base", base, *write_template(cluster.dir, name,
                                                  **kinds)))


def _read_varint(data, at):
    value = shift = 0
    while True:
        value |= (data[at] & 127) << shift
        shift += 7
        at += 1
        if not data[at - 1] & 128:
            return value, at


def _fields(data):
    at = 0
    while at < len(data):
        tag, at = _read_varint(data, at)
        if tag & 7 == 0:
            value, at = _read_varint(data, at)
        elif tag & 7 == 1:
            value, at = data[at:at + 8], at + 8
        else:
            length, at = _read_varint(data, at)
            value, at = data[at:at + length], at + length
        yield tag >> 3, value


KINDS = {1: "config", 2: "claim", 3: "intent", 4: "settle", 5: "quiesce",
         6: "key", 7: "death", 8: "checkpoint"}


def log_kinds(cluster):
    """(offset, kinds of its records) of every batch in the log."""
    first = cluster.call("log", "GET", "/test/state").json()["first"]
    page = cluster.call(
        "log", "GET", "/v1/records?from=%d&max=100000" % first).json()
    out = []
    for r in page["records"]:
        data = base64.b64decode(r["data"])
        if data[:1] != b"\x08":
            continue  # not a batch
        payload = dict(_fields(data))[4]
        out.append((r["offset"], [KINDS.get(n) for _, rec in _fields(payload)
                                  for n, _ in _fields(rec)]))
    return out
