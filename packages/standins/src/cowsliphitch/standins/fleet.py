"""Start a small fleet as separate processes on the loopback address.

The demo, the measurements and the tests use it.  Daemons start nothing themselves.
"""

import os
import signal
import subprocess
import sys
import tempfile
from pathlib import Path
from typing import Any

import attrs
import httpx
import trustme
import yaml

from cowsliphitch.core import tokens

from .const import LOOPBACK
from .faults import Faults
from .processes import (
    DaemonProcess,
    Process,
    UpstreamSpec,
    free_port,
    wait_for,
)

HTTP_TIMEOUT_S = 2.0
OPERATORS = ("alice", "bruno")


class Fleet:
    """Stand-ins and daemons, all separate processes."""

    def __init__(self, secure: bool = True, relayed: bool = False) -> None:
        """Make a folder for settings and logs; nothing is started yet.

        :param relayed: daemons reach each other through relays, which can be cut
        """
        self._relayed = relayed
        self._folder = tempfile.TemporaryDirectory(prefix="cowsliphitch-")
        self.folder = Path(self._folder.name)
        self._vms: list[dict[str, str]] = []
        self.http = httpx.Client(timeout=HTTP_TIMEOUT_S)
        self._commands: dict[str, list[str]] = {}
        self._operators = {name: tokens.new_token(name) for name in OPERATORS}
        self.operator_token = self._operators[OPERATORS[0]]
        self.operator_digests = {
            name: tokens.digest(token) for name, token in self._operators.items()
        }
        self.team_tokens: dict[str, str] = {}
        self.processes: dict[str, Process] = {}
        self.daemons: dict[str, DaemonProcess] = {}
        self.authority = trustme.CA() if secure else None
        if self.authority is not None:
            self.authority.cert_pem.write_to_path(str(self.folder / "authority.pem"))

    def __enter__(self) -> "Fleet":
        """Use the fleet as a context that ends its processes."""
        return self

    def __exit__(self, *_exc: object) -> None:
        """End all processes that were started here."""
        for process in (*self.daemons.values(), *self.processes.values()):
            if process.alive:
                process.kill()
        self.http.close()
        self._folder.cleanup()

    def token(self, team: str) -> str:
        """Return the token of a team; it is made when first asked for."""
        if team not in self.team_tokens:
            self.team_tokens[team] = tokens.new_token(team)
        return self.team_tokens[team]

    def start_platform(self) -> None:
        """Start the key-value service and the VM list."""
        self._start_standin("kv", "kv", ())
        self._start_standin("vm-list", "vm-list", ())

    def _start_standin(self, name: str, kind: str, options: tuple[str, ...]) -> Process:
        port = free_port()
        module = [sys.executable, "-m", "cowsliphitch.standins", kind]
        command = [*module, "--port", str(port), "--name", name, *options]
        self._commands[name] = command
        process = Process(name, f"http://{LOOPBACK}:{port}", self._popen(name, command))
        self.processes[name] = process
        return process

    def _start_relay(self, daemon: str, target: str) -> str:
        """Start the network before a daemon; return the address to reach it by."""
        port = free_port()
        options = ("--listen", str(port), "--target", target)
        relay = self._start_standin(f"relay-{daemon}", "relay", options)
        wait_for(f"{relay.name} answers", lambda: self._answers(relay.url))
        return f"{LOOPBACK}:{port}"

    def restart_standin(self, name: str) -> None:
        """Start a stand-in again at the same address; what it knew is gone."""
        popen = self._popen(name, self._commands[name])
        self.processes[name] = attrs.evolve(self.processes[name], popen=popen)

    def reset_faults(self, name: str) -> None:
        """Put all fault switches of a stand-in back."""
        self.faults(name, **attrs.asdict(Faults()))

    def _popen(self, name: str, command: list[str]) -> "subprocess.Popen[bytes]":
        with open(self.folder / f"{name}.log", "ab") as log:
            return subprocess.Popen(command, stdout=log, stderr=log)

    def start_upstream(self, spec: UpstreamSpec) -> Process:
        """Start an upstream and list its VM."""
        process = self._start_standin(spec.name, spec.kind, spec.options)
        self._vms.append(
            {
                "name": spec.name,
                "pool": spec.pool,
                "address": process.url,
                "failure_domain": spec.failure_domain,
                "state": "live",
            }
        )
        return process

    def set_vm_state(self, name: str, state: str) -> None:
        """Let the platform show a VM as live or leaving."""
        self._vms = [
            vm | {"state": state} if vm["name"] == name else vm for vm in self._vms
        ]
        self.publish_vms()

    def bring_back(self) -> None:
        """Let VMs that were leaving go, then list them again as new ones."""
        gone = {vm["name"] for vm in self._vms if vm["state"] != "live"}
        if not gone:
            return
        listed = self._vms
        self._vms = [vm for vm in listed if vm["name"] not in gone]
        self.publish_vms()
        for daemon in self.daemons:
            wait_for(
                "the VMs are gone",
                lambda d=daemon: (
                    not gone & {u["name"] for u in self.query(d, "/v1/upstreams")}
                ),
            )
        self._vms = [vm | {"state": "live"} for vm in listed]
        self.publish_vms()

    def publish_vms(self, lag_ms: int = 200) -> None:
        """Tell the VM list who is there."""
        url = self.processes["vm-list"].url
        self.http.put(f"{url}/v1/vms", json={"vms": self._vms, "lag_ms": lag_ms})

    def start_daemon(
        self, name: str, failure_domain: str, **extra: Any
    ) -> DaemonProcess:
        """Start a daemon; the ones before it are its seeds."""
        callers, operators, peers = (f"{LOOPBACK}:{free_port()}" for _ in range(3))
        advertised = self._start_relay(name, peers) if self._relayed else peers
        cfg = {
            "name": name,
            "failure_domain": failure_domain,
            "callers": callers,
            "operators": operators,
            "peers": peers,
            "peers_advertised": advertised,
            "seeds": [daemon.peers for daemon in self.daemons.values()],
            "platform": self._platform(),
            "operator_tokens": self.operator_digests,
            "drain_delay": "300ms",
        }
        if self.authority is not None:
            cfg["tls"] = self._certificate(name)
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(cfg | extra))
        command = [sys.executable, "-m", "cowsliphitch.daemon", "--settings", str(path)]
        daemon = DaemonProcess(
            name=name,
            url=f"http://{callers}",
            popen=self._popen(name, command),
            operators=f"http://{operators}",
            peers=advertised,
            failure_domain=failure_domain,
            settings=path,
        )
        self.daemons[name] = daemon
        return daemon

    def restart_daemon(self, name: str, **platform: str) -> DaemonProcess:
        """Start a daemon again, with other addresses of the platform if wanted."""
        old = self.daemons[name]
        cfg = yaml.safe_load(old.settings.read_text())
        cfg["platform"] = self._platform() | platform
        old.settings.write_text(yaml.safe_dump(cfg))
        command = [sys.executable, "-m", "cowsliphitch.daemon"]
        popen = self._popen(name, [*command, "--settings", str(old.settings)])
        self.daemons[name] = attrs.evolve(old, popen=popen)
        return self.daemons[name]

    def _platform(self) -> dict[str, str]:
        return {
            "kv": self.processes["kv"].url,
            "vm_list": self.processes["vm-list"].url,
        }

    def _certificate(self, name: str) -> dict[str, str]:
        assert self.authority is not None
        issued = self.authority.issue_cert(LOOPBACK, common_name=name)
        certificate = self.folder / f"{name}.crt"
        key = self.folder / f"{name}.key"
        issued.private_key_pem.write_to_path(str(key))
        issued.cert_chain_pems[0].write_to_path(str(certificate))
        return {
            "certificate": str(certificate),
            "key": str(key),
            "authority": str(self.folder / "authority.pem"),
        }

    def wait_until_up(self) -> None:
        """Wait until every process answers."""
        for process in self.processes.values():
            wait_for(f"{process.name} answers", lambda p=process: self._answers(p.url))
        for daemon in self.daemons.values():
            url = f"{daemon.url}/healthz"
            wait_for(f"{daemon.name} answers", lambda u=url: self.status(u) == 200)

    def wait_until_ready(self) -> None:
        """Wait until every daemon has a configuration and all upstreams."""
        pools = sum(1 for vm in self._vms if vm["pool"])
        for daemon in self.daemons.values():
            if not daemon.alive:
                continue
            url = f"{daemon.url}/readyz"
            wait_for(f"{daemon.name} is ready", lambda u=url: self.status(u) == 200)
            wait_for(
                f"{daemon.name} knows the upstreams",
                lambda d=daemon: len(self.query(d.name, "/v1/upstreams")) == pools,
            )

    def query(self, daemon: str, path: str) -> Any:
        """Read from a daemon's operators' interface."""
        headers = {"authorization": f"Bearer {self.operator_token}"}
        resp = self.http.get(self.daemons[daemon].operators + path, headers=headers)
        return resp.json() if resp.is_success else None

    def faults(self, name: str, **switches: Any) -> None:
        """Set the fault switches of a stand-in."""
        url = f"{self.processes[name].url}/faults"
        self.http.post(url, json=switches).raise_for_status()

    def record(self, name: str) -> list[dict[str, Any]]:
        """Return what an upstream ran, by its own record."""
        runs: list[dict[str, Any]] = self.http.get(
            f"{self.processes[name].url}/record"
        ).json()["runs"]
        return runs

    def operator_token_of(self, who: str) -> str:
        """Return the token of an operator."""
        return self._operators[who]

    def cli(
        self, daemon: str, *args: str, token: str | None = None
    ) -> "subprocess.CompletedProcess[str]":
        """Run the operators' command against a daemon."""
        environment = os.environ | {
            "COWSLIPHITCH_DAEMON": self.daemons[daemon].operators,
            "COWSLIPHITCH_OPERATOR_TOKEN": token or self.operator_token,
        }
        command = [sys.executable, "-m", "cowsliphitch.operators", *args]
        return subprocess.run(
            command, env=environment, capture_output=True, text=True, check=False
        )

    def _answers(self, url: str) -> bool:
        return self.status(f"{url}/faults") == httpx.codes.OK

    def status(self, url: str) -> int:
        """Return the HTTP status of a URL, 0 if nothing answers."""
        try:
            return self.http.get(url).status_code
        except httpx.HTTPError:
            return 0

    def stop(self) -> dict[str, int]:
        """Stop daemons, then stand-ins, gracefully; return the exit codes."""
        codes: dict[str, int] = {}
        for group in (self.daemons.values(), self.processes.values()):
            living = [process for process in group if process.alive]
            for process in living:
                process.signal(signal.SIGCONT)
                process.popen.terminate()
            codes |= {process.name: process.stop() for process in living}
        return codes
