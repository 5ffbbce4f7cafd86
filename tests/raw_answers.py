"""Answers that an engine writes byte for byte: in each framing, with each way
to end.

RawAnswer(...) goes into on_request of an engine (see fake_platform).
"""

import socket
import struct
import threading
import time

LENGTH, CHUNKS, CLOSE, BARE = "length", "chunks", "close", "bare"
FRAMINGS = (LENGTH, CHUNKS, CLOSE, BARE)
# How the answer ends: as its framing says, by an orderly end of the connection
# before that, or by a reset of the connection.
AS_FRAMED, CLOSED, RESET = "as framed", "closed", "reset"
# The bytes before a reset are read by then: a reset drops what is under way.
BEFORE_RESET_S = 0.05


def event(i, eol="\n"):
    return "id: %d%sdata: event %d%s%s" % (i, eol, i, eol, eol)


# Name of the place at which an event is cut -> how much of it is sent.
INSIDE = {"in its id": lambda e: e[:3],
          "in its data": lambda e: e[:len(e) // 2],
          "at the end of a line": lambda e: e[:e.index("data")],
          "before its last line ends": lambda e: e.rstrip("\r\n"),
          "before its blank line": None}


def cut_event(place, i, eol="\n"):
    whole = event(i, eol)
    if place == "before its blank line":
        return whole[:-len(eol)]
    return INSIDE[place](whole)


def reset(connection):
    time.sleep(BEFORE_RESET_S)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER,
                          struct.pack("ii", 1, 0))
    connection.close()


class RawAnswer:
    """Answers with BODY (f(first event) -> text) the first TIMES requests with
    a path that contains PATH, and leaves the others to the engine."""

    def __init__(self, framing, end, body, times=10 ** 9, path="",
                 content_type="text/event-stream", status="200 OK",
                 pieces=1, pause_s=0.0):
        self.framing, self.end, self.body = framing, end, body
        self.times, self.path, self.type = times, path, content_type
        self.status = status
        self.pieces, self.pause_s = pieces, pause_s
        self.lock = threading.Lock()
        self.resumed_at = []   # Last-Event-Id of all requests

    def __call__(self, engine, h, rid):
        if self.path not in h.path:
            return False
        with self.lock:
            self.resumed_at.append(h.headers.get("Last-Event-Id"))
            if self.times == 0:
                return False
            self.times -= 1
        last = h.headers.get("Last-Event-Id") or ""
        first = int(last) + 1 if last.isdigit() else 0
        body = self.body(first).encode()
        h.wfile.write(self.head(engine, rid, len(body)))
        if h.command == "HEAD":
            h.close_connection = self.framing in (CLOSE, BARE)
            return True
        for piece in self.cut(body):
            h.wfile.write(piece)
            h.wfile.flush()
            time.sleep(self.pause_s)
        self.finish(h)
        return True

    def head(self, engine, rid, size):
        lines = ["HTTP/1.1 " + self.status, "X-Attempt-Id: " + rid,
                 "X-Server-Stamp: s-" + engine.name]
        if self.type:
            lines.append("Content-Type: " + self.type)
        if self.framing == LENGTH:
            more = 0 if self.end == AS_FRAMED else 10
            lines.append("Content-Length: %d" % (size + more))
        elif self.framing == CHUNKS:
            lines.append("Transfer-Encoding: chunked")
        elif self.framing == CLOSE:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    def cut(self, body):
        size = max(1, -(-len(body) // self.pieces))
        for at in range(0, len(body), size):
            piece = body[at:at + size]
            if self.framing == CHUNKS:
                piece = b"%x\r\n%s\r\n" % (len(piece), piece)
            yield piece

    def finish(self, h):
        if self.end == AS_FRAMED and self.framing == CHUNKS:
            h.wfile.write(b"0\r\n\r\n")
        h.wfile.flush()
        if self.end == AS_FRAMED and self.framing in (LENGTH, CHUNKS):
            return
        h.close_connection = True
        if self.end == RESET:
            reset(h.connection)
