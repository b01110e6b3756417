"""A stand-in for the operators' interface, for tests of the command line."""

import json
import threading
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

TOKEN = "operator-token"


class OperatorStandIn:
    """Responds like one daemon. ``domains`` is part of its status response."""

    def __init__(self):
        self.entries = {}
        self.revision = 10
        self.domains = {}
        self.requests = []
        stand_in = self

        class Handler(BaseHTTPRequestHandler):
            def do_GET(self):
                self.respond(None)

            def do_POST(self):
                size = int(self.headers.get("Content-Length", 0))
                self.respond(json.loads(self.rfile.read(size)))

            def respond(self, body):
                if self.headers.get("Authorization") != f"Bearer {TOKEN}":
                    status, answer = 401, error_body("unauthenticated")
                else:
                    stand_in.requests.append((self.command, self.path, body))
                    status, answer = stand_in.answer(self.path, body)
                content = json.dumps(answer).encode()
                self.send_response(status)
                self.send_header("Content-Length", str(len(content)))
                self.end_headers()
                self.wfile.write(content)

            def log_message(self, *arguments):
                pass

        self.server = ThreadingHTTPServer(("127.0.0.1", 0), Handler)
        self.url = f"http://127.0.0.1:{self.server.server_port}"
        self.thread = threading.Thread(target=self.server.serve_forever, daemon=True)
        self.thread.start()

    def answer(self, path, body):
        if path.endswith("/status"):
            return 200, {
                "host": "g1",
                "incarnation": 5,
                "domain": "galway-a",
                "ready": True,
                "draining": False,
                "revision": self.revision,
                "domains": self.domains,
                "open_calls": 3,
                "unconfirmed_cancels": 0,
            }
        if path.endswith("/endpoints"):
            return 200, {"endpoints": [{"address": "127.0.0.1:1", "report": None}]}
        if path.endswith("/drain"):
            return 200, {"draining": True}
        if body is None:
            entries = list(self.entries.values())
            return 200, {"revision": self.revision, "entries": entries}
        name = body["entry"]["name"]
        current = self.entries.get(name)
        if body["base_revision"] != (current["revision"] if current else -1):
            return 409, error_body("revision_conflict") | {"entry": current}
        self.revision += 1
        entry = body["entry"] | {"revision": self.revision}
        self.entries[name] = entry
        return 200, {"revision": self.revision, "entry": entry}

    def close(self):
        self.server.shutdown()
        self.server.server_close()
        self.thread.join()


def error_body(code):
    return {"error": {"code": code, "message": code, "outcome": None, "call_id": None}}
