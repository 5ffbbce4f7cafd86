"""A model engine as a process of its own: engine.py NAME PORT BORN_MS.

Each twentieth of its streams has no length and ends with its connection; the
others are chunked.  Prints a line for each stream it runs and each that it
has written whole.
"""

import asyncio
import json
import sys

NAME, PORT, BORN_MS = sys.argv[1], int(sys.argv[2]), int(sys.argv[3])
EVENTS, EVENT_S = 10, 0.1
UNFRAMED_NTH = 20      # kit: garble "unframed", x = 0.05
streams = 0


def head(status, h, more):
    return ("HTTP/1.1 %s\r\nX-Attempt-Id: %s\r\nX-Instance-Id: %s\r\n"
            "X-Instance-Load: 1,0,96\r\n%s\r\n" %
            (status, h.get("x-attempt-id", ""), NAME, more)).encode()


def whole(status, h, body):
    return head(status, h, "Content-Length: %d\r\n" % len(body)) + body


async def stream(h, writer):
    """True: the connection may be used again."""
    global streams
    streams += 1
    unframed = streams % UNFRAMED_NTH == 0
    rid = h.get("x-attempt-id", "")
    print("%s runs %s%s" % (NAME, rid, ", without a length" if unframed else
                            ""), flush=True)
    writer.write(head("200 OK", h, "Content-Type: text/event-stream\r\n"
                      "X-Server-Stamp: s-%s\r\nX-Weight-Versions: 1\r\n%s" %
                      (NAME, "Connection: close\r\n" if unframed else
                       "Transfer-Encoding: chunked\r\n")))
    for i in range(EVENTS):
        event = b"id: %d\ndata: part %d of %d of %s\n\n" % (
            i, i + 1, EVENTS, rid.encode())
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
            await reader.readexactly(int(h.get("content-length", 0)))
            path = lines[0].split()[1]
            if h.get("x-expect-instance", NAME) != NAME:
                writer.write(whole("421 Misdirected", h, b""))
            elif path == "/report":
                writer.write(whole("200 OK", h, json.dumps(
                    {"phase": "both", "busy": False, "sequence": 0,
                     "models": [{"name": "m0", "version": 1,
                                 "adapters": []}],
                     "queued": 0, "active": 0, "kv_used": 0,
                     "kv_total": 90000, "handles": 0,
                     "born": BORN_MS}).encode()))
            elif path == "/order":
                writer.write(whole("409 Conflict", h, b""))
            elif path == "/healthz":
                writer.write(whole("200 OK", h, b""))
            else:
                keep = await stream(h, writer)
            await writer.drain()
    except (asyncio.IncompleteReadError, ConnectionError):
        pass
    finally:
        writer.close()


async def main():
    server = await asyncio.start_server(serve, "127.0.0.1", PORT)
    await server.serve_forever()


asyncio.run(main())
