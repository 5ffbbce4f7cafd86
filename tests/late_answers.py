"""Copies of an upstream's answers that come once more, on the connection on
which the answer went out."""

import itertools


class LateCopies:
    """Sends the answers of ENGINE to paths that contain PATH twice.

    where: "late": the copy comes just before the next answer on that
    connection; "at once": behind the first.
    may_copy: f(path, answer) -> whether this one is sent twice.
    """

    def __init__(self, engine, path="", where="late", may_copy=None):
        self.path, self.where = path, where
        self.may_copy = may_copy or (lambda path, answer: True)
        self.handle = engine.handle
        self.sent = []     # copies
        self.asked = []    # (connection, path) of all requests
        self.connections = itertools.count()
        engine.handle = self.answer

    def answer(self, h, method, path, query, body):
        if not hasattr(h, "nth"):
            h.nth = next(self.connections)
        self.asked.append((h.nth, path))
        late = h.__dict__.pop("late", b"")
        if late:
            h.wfile.write(late)
            self.sent.append(late)
        write, written = h.wfile.write, []

        def tee(data):
            written.append(bytes(data))
            return write(data)
        h.wfile.write = tee
        try:
            self.handle(h, method, path, query, body)
        finally:
            h.wfile.write = write
        answer = b"".join(written)
        if self.path not in path or not self.may_copy(path, answer):
            return
        if self.where == "late":
            h.late = answer
        else:
            h.wfile.write(answer)
            h.wfile.flush()
            self.sent.append(answer)
