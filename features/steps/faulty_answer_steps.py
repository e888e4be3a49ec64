"""Steps on servers whose answers are not complete or not valid."""

import json
import socket
import struct
import threading
import time
from typing import Any, Final

import httpx
from behave import given, then, when
from platform_steps import PROMPT_HEADERS, TEAM_BY_KEY, Site

from cowsliphitch.standins.processes import free_port
from cowsliphitch.standins.site import document, put

MB: Final = 1_000_000
READ_PAUSE_S: Final = 0.1
SEAL: Final = b"Cowsliphitch-Response-Seal: seal\r\n"
EMPTY_SEAL: Final = b"Cowsliphitch-Response-Seal: \r\n"
PART: Final = b'{"items": [{"handle": "x/1"}]}id: 1\ndata: event\n\n'
PATHS: Final = {
    "an order": "/order/1",
    "a lookup": "/lookup/1",
    "a generation": "/generation/1",
}


class FaultyServer:
    """Server that answers each connection once, with a given fault."""

    def __init__(self, port: int, fault: str) -> None:
        self._fault = fault
        self._listener = socket.create_server(("127.0.0.1", port))
        threading.Thread(target=self._run, daemon=True).start()

    def _run(self) -> None:
        while True:
            try:
                sock, _ = self._listener.accept()
            except OSError:
                return
            threading.Thread(target=self._answer, args=(sock,), daemon=True).start()

    def _answer(self, sock: socket.socket) -> None:
        sock.settimeout(READ_PAUSE_S)
        try:
            if not sock.recv(1_000):
                return
            if self._fault.startswith("reads all"):
                self._read_all(sock)
            status = self._fault.rpartition("status ")[2].encode()
            if self._fault.startswith("answers with"):
                empty = self._fault == "answers with an empty seal"
                sock.sendall(b"HTTP/1.1 %s X\r\n" % (b"200" if empty else status))
                sock.sendall(EMPTY_SEAL if empty else SEAL)
                sock.sendall(b"Content-Length: 2\r\n\r\nok")
                self._read_all(sock)
                return
            sock.sendall(b"HTTP/1.1 200 OK\r\n" + SEAL + b"\r\n" + PART)
            time.sleep(READ_PAUSE_S / 10)
            linger = struct.pack("ii", 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        except OSError:
            return
        finally:
            sock.close()

    def _read_all(self, sock: socket.socket) -> None:
        try:
            while sock.recv(MB):
                pass
        except TimeoutError:
            return

    def close(self) -> None:
        self._listener.shutdown(socket.SHUT_RDWR)
        self._listener.close()


@given('a site whose only server of "{service}" {fault}')
def start_faulty_site(context: Any, service: str, fault: str) -> None:
    site = context.site = Site(False, ("v1",), daemon_count=1, desk_count=1)
    context.add_cleanup(site.close)
    good = site.servers[f"{service}-1"]
    faulty = FaultyServer(free_entry(good), fault)
    context.add_cleanup(faulty.close)
    site.start()
    content = json.loads(document(2, TEAM_BY_KEY))
    content["limits"]["max_body_bytes"] = 8 * MB
    put(site.store, "op/config", json.dumps(content))
    time.sleep(1)


def free_entry(server: Any) -> int:
    """Have a server's entry name another port, which is returned."""
    server.port = free_port()
    return int(server.port)


@when("a caller uploads {size:d} bytes with {request}")
def send_with_body(context: Any, request: str, size: int) -> None:
    headers = PROMPT_HEADERS | {"cowsliphitch-pieces": "1,1"}
    chosen = headers if request == "a generation" else {}
    try:
        answer = context.site.call(PATHS[request], chosen, body="x" * size)
        context.result = answer.status_code
    except httpx.RemoteProtocolError:
        context.result = "incomplete"


@then("the caller gets status 502 or 503, or an incomplete answer")
def check_not_complete(context: Any) -> None:
    assert context.result in (502, 503, "incomplete"), context.result
