"""Threaded JSON-over-HTTP server that all stand-ins are built on."""

import argparse
import json
import signal
import socket
import sys
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from urllib.parse import parse_qs, urlsplit


class Server(ThreadingHTTPServer):
    daemon_threads = True
    request_queue_size = 512
    allow_reuse_address = True

    def __init__(self, *args):
        self.open = set()
        self.ended = False
        super().__init__(*args)

    def handle_error(self, request, client_address):
        # A gateway resets the connection of a call that it gives up.
        given_up = isinstance(sys.exc_info()[1], ConnectionError)
        if not self.ended and not given_up:
            super().handle_error(request, client_address)

    def note_open(self, connection):
        self.open.add(connection)
        if self.ended:
            reset(connection)

    def note_closed(self, connection):
        self.open.discard(connection)

    def end_process(self):
        """As if its process ended: refuses connections, resets open ones."""
        self.ended = True
        self.socket.close()
        for connection in list(self.open):
            reset(connection)


def reset(connection):
    try:
        connection.shutdown(socket.SHUT_RDWR)
    except OSError:
        pass   # closed already


class Handler(BaseHTTPRequestHandler):
    """Calls app.handle(handler, method, path, query, body) per request."""

    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    app = None

    def setup(self):
        super().setup()
        self.server.note_open(self.connection)

    def finish(self):
        self.server.note_closed(self.connection)
        try:
            super().finish()
        except OSError:
            pass   # the process has ended, see Server.end_process

    def log_message(self, *args):
        pass

    def _run(self):
        url = urlsplit(self.path)
        query = {k: v[0] for k, v in parse_qs(url.query).items()}
        length = int(self.headers.get("Content-Length") or 0)
        body = self.rfile.read(length) if length else b""
        try:
            self.app.handle(self, self.command, url.path, query, body)
        except (BrokenPipeError, ConnectionResetError):
            self.close_connection = True

    do_GET = do_POST = do_PUT = do_DELETE = do_HEAD = _run

    def _send_headers(self, headers):
        """HEADERS: name -> value, or a list of values."""
        for name, value in (headers or {}).items():
            for v in value if isinstance(value, list) else [value]:
                self.send_header(name, v)

    def reply(self, status, doc, headers=None):
        data = json.dumps(doc).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self._send_headers(headers)
        self.end_headers()
        self.wfile.write(data)

    def reply_short(self, status, doc):
        """Sends half of the body with the full Content-Length and closes."""
        data = json.dumps(doc).encode()
        self.send_response(status)
        self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data[:len(data) // 2])
        self.wfile.flush()
        self.close_connection = True

    def start_stream(self, headers=None):
        self.send_response(200)
        self.send_header("Content-Type", "text/event-stream")
        self.send_header("Transfer-Encoding", "chunked")
        self._send_headers(headers)
        self.end_headers()

    def send_chunk(self, text):
        data = text.encode()
        self.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
        self.wfile.flush()

    def end_stream(self):
        self.wfile.write(b"0\r\n\r\n")
        self.wfile.flush()


def make_parser(doc):
    parser = argparse.ArgumentParser(description=doc)
    parser.add_argument("--port", type=int, required=True)
    return parser


def serve(app, port):
    handler = type("BoundHandler", (Handler,), {"app": app})
    server = Server(("127.0.0.1", port), handler)
    signal.signal(signal.SIGTERM, lambda *a: threading.Thread(
        target=server.shutdown).start())
    server.serve_forever(poll_interval=0.1)
    sys.exit(0)
