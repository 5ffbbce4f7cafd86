"""A model engine as a process of its own: engine.py NAME PORT BORN_MS MODELS
DISK, with lists of models ("-": none).

Each twentieth of its streams has no length and ends with its connection; the
others are chunked.  Prints a line for each stream that it runs and each that it
has written whole, and what it holds whenever that changes.
"""

import asyncio
import json
import sys

NAME, PORT, BORN_MS = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
held, disk = ([m for m in a.split(",") if m != "-"] for a in sys.argv[4:6])
EVENTS = {"sum": 10, "ask": 30}   # by the first part of the path
EVENT_S = 0.1
UNFRAMED_NTH = 20      # kit: garble "unframed", x = 0.05
LOAD_S, DISK_S = 6.0, 2.0
streams = 0
sequence = 0
loading = None


def head(status, h, more):
    rid = h.get("x-attempt-id")
    echo = "X-Attempt-Id: %s\r\n" % rid if rid else ""
    return ("HTTP/1.1 %s\r\n%sX-Instance-Id: %s\r\n"
            "X-Instance-Load: 1,0,96\r\n%s\r\n" %
            (status, echo, NAME, more)).encode()


def whole(status, h, body=b"", more=""):
    return head(status, h, "%sContent-Length: %d\r\n" %
                (more, len(body))) + body


def tell():
    print("%s holds %s" % (NAME, ",".join(held) or "-"), flush=True)


async def load(model):
    global loading
    await asyncio.sleep(DISK_S if model in disk else LOAD_S)
    held.append(model)
    if model not in disk:
        disk.append(model)
    loading = None
    tell()


def order(h, body):
    global sequence, loading
    o = json.loads(body)
    print("%s is ordered to %s %s" % (NAME, o["op_type"], o["model"]),
          flush=True)
    model = o["model"]
    if "holder" not in o or "fence_token" not in o or "adapter" in o:
        return whole("400 Bad Request", h)
    if loading or o.get("expect", sequence) != sequence:
        return whole("409 Conflict", h)
    if (o["op_type"] == "load") == (model in held):
        return whole("200 OK", h)
    sequence += 1
    if o["op_type"] == "load":
        loading = model
        asyncio.get_running_loop().create_task(load(model))
    else:
        held.remove(model)
        tell()
    return whole("202 Accepted", h)


def report(h):
    return whole("200 OK", h, json.dumps({
        "phase": "both", "busy": loading is not None, "sequence": sequence,
        "models": [{"name": m, "version": 1, "adapters": []} for m in held],
        "at_hand": {"in_memory": [], "on_disk": disk},
        "queued": 0, "active": 0, "kv_used": 0, "kv_total": 189118,
        "handles": 0, "born": BORN_MS}).encode())


async def stream(path, h, writer):
    """True: the connection may be used again."""
    global streams
    streams += 1
    unframed = streams % UNFRAMED_NTH == 0
    count = EVENTS[path.split("/")[1]]
    rid = h.get("x-attempt-id", "")
    first = int(h.get("last-event-id", -1)) + 1
    print("%s runs %s from part %d%s" % (
        NAME, rid, first + 1, ", without a length" if unframed else ""),
        flush=True)
    writer.write(head("200 OK", h, "Content-Type: text/event-stream\r\n"
                      "X-Server-Stamp: s-%s\r\nX-Weight-Versions: 1\r\n%s" %
                      (NAME, "Connection: close\r\n" if unframed else
                       "Transfer-Encoding: chunked\r\n")))
    for i in range(first, count):
        event = b"id: %d\ndata: part %d of %d of %s\n\n" % (
            i, i + 1, count, rid.encode())
        writer.write(event if unframed else
                     b"%x\r\n%s\r\n" % (len(event), event))
        await writer.drain()
        await asyncio.sleep(EVENT_S)
    writer.write(b"" if unframed else b"0\r\n\r\n")
    await writer.drain()
    print("%s ends %s" % (NAME, rid), flush=True)
    return not unframed


async def serve(reader, writer):
    try:
        keep = True
        while keep:
            lines = (await reader.readuntil(b"\r\n\r\n")).decode().split(
                "\r\n")
            h = {k.strip().lower(): v.strip() for k, _, v in
                 (line.partition(":") for line in lines[1:] if line)}
            body = await reader.readexactly(int(h.get("content-length", 0)))
            path = lines[0].split()[1]
            model = h.get("x-model")
            if h.get("x-expect-instance", NAME) != NAME:
                writer.write(whole("421 Misdirected", h))
            elif path == "/report":
                writer.write(report(h))
            elif path == "/order":
                writer.write(order(h, body))
            elif path == "/healthz":
                writer.write(whole("200 OK", h))
            elif model == loading:
                writer.write(whole("503 Service Unavailable", h,
                                   more="X-Not-Executed: 1\r\n"))
            elif model not in held:
                writer.write(whole("421 Misdirected", h))
            else:
                keep = await stream(path, h, writer)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", PORT)
    tell()
    await server.serve_forever()


asyncio.run(main())
