"""Fleet of daemons and stand-ins, run as separate processes on the loopback address.

The demo, the measurements and the tests use it.  Daemons start no processes themselves.
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
# A stopping daemon takes new connections for this long after it was last ready.
DRAIN_DELAY_MS = 300
OPERATOR_NAMES = ("alice", "bruno")

# End of a process's output that the error of a failed start quotes.
MAX_QUOTED_LINES = 15


class FleetStartError(RuntimeError):
    """A fleet did not start; the message tells how each of its processes fares."""


class Fleet:
    """Daemons and stand-ins, each in a process of its own.

    :ivar processes: stand-ins by name
    :ivar daemons: daemons by name
    """

    def __init__(self, secure: bool = True, with_relays: bool = False) -> None:
        """Create a temporary folder for settings and logs; start no process.

        :param secure: use TLS between daemons, with a certificate authority of its own
        :param with_relays: connect daemons through relays, which can simulate a
            network partition
        """
        self._with_relays = with_relays
        self._temp_dir = tempfile.TemporaryDirectory(prefix="cowsliphitch-")
        self.folder = Path(self._temp_dir.name)
        self._vms: list[dict[str, str]] = []
        self.http = httpx.Client(timeout=HTTP_TIMEOUT_S)
        self._commands: dict[str, list[str]] = {}
        self._operator_tokens = {
            name: tokens.new_token(name) for name in OPERATOR_NAMES
        }
        self.operator_token = self._operator_tokens[OPERATOR_NAMES[0]]
        self.operator_digests = {
            name: tokens.digest(token) for name, token in self._operator_tokens.items()
        }
        self.team_tokens: dict[str, str] = {}
        self.processes: dict[str, Process] = {}
        self.daemons: dict[str, DaemonProcess] = {}
        self.authority = trustme.CA() if secure else None
        if self.authority is not None:
            self.authority.cert_pem.write_to_path(str(self.folder / "authority.pem"))

    def __enter__(self) -> "Fleet":
        """Return the fleet, whose processes end with the context."""
        return self

    def __exit__(self, *_exc: object) -> None:
        """Kill all processes of the fleet and delete its folder."""
        for process in (*self.daemons.values(), *self.processes.values()):
            if process.is_alive:
                process.kill()
        self.http.close()
        self._temp_dir.cleanup()

    def team_token(self, team: str) -> str:
        """Return the token of a team, creating it on the first call."""
        if team not in self.team_tokens:
            self.team_tokens[team] = tokens.new_token(team)
        return self.team_tokens[team]

    def start_platform(self) -> None:
        """Start the stand-ins for the key-value store and the VM list."""
        self._start_standin("kv", "kv", ())
        self._start_standin("vm-list", "vm-list", ())

    def _start_standin(self, name: str, kind: str, options: tuple[str, ...]) -> Process:
        port = free_port()
        module = [sys.executable, "-m", "cowsliphitch.standins", kind]
        command = [*module, "--port", str(port), "--name", name, *options]
        self._commands[name] = command
        process = Process(name, f"http://{LOOPBACK}:{port}", self._spawn(name, command))
        self.processes[name] = process
        return process

    def _start_relay(self, daemon: str, target: str) -> str:
        """Start a relay in front of a daemon and return its ``host:port``.

        :param target: ``host:port`` of the daemon's interface for peers
        """
        port = free_port()
        options = ("--listen", str(port), "--target", target)
        relay = self._start_standin(f"relay-{daemon}", "relay", options)
        wait_for(f"{relay.name} answers", lambda: self._is_responding(relay.url))
        return f"{LOOPBACK}:{port}"

    def restart_standin(self, name: str) -> None:
        """Restart a stand-in at the same address, without its previous state."""
        popen = self._spawn(name, self._commands[name])
        self.processes[name] = attrs.evolve(self.processes[name], popen=popen)

    def reset_faults(self, name: str) -> None:
        """Reset all fault switches of a stand-in to their defaults."""
        self.set_faults(name, **attrs.asdict(Faults()))

    def _spawn(self, name: str, command: list[str]) -> "subprocess.Popen[bytes]":
        with open(self.folder / f"{name}.log", "ab") as log:
            return subprocess.Popen(command, stdout=log, stderr=log)

    def start_upstream(self, spec: UpstreamSpec) -> Process:
        """Start an upstream and add its VM to the list, without publishing the list."""
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
        """Set the state of a VM to ``live`` or ``leaving`` and publish the list."""
        self._vms = [
            vm | {"state": state} if vm["name"] == name else vm for vm in self._vms
        ]
        self.publish_vms()

    def relist_leaving_vms(self) -> None:
        """Remove leaving VMs from the list, then add them again as live ones.

        Wait in between until every daemon has removed them, so that they return as new
        VMs.
        """
        leaving_names = {vm["name"] for vm in self._vms if vm["state"] != "live"}
        if not leaving_names:
            return
        all_vms = self._vms
        self._vms = [vm for vm in all_vms if vm["name"] not in leaving_names]
        self.publish_vms()
        for daemon in self.daemons:
            wait_for(
                "the VMs are gone",
                lambda d=daemon: (
                    not leaving_names
                    & {u["name"] for u in self.query_daemon(d, "/v1/upstreams")}
                ),
            )
        self._vms = [vm | {"state": "live"} for vm in all_vms]
        self.publish_vms()

    def publish_vms(self, lag_ms: int = 200) -> None:
        """Send the list of VMs to the VM list's stand-in.

        :param lag_ms: time until readers see the change
        """
        url = self.processes["vm-list"].url
        self.http.put(f"{url}/v1/vms", json={"vms": self._vms, "lag_ms": lag_ms})

    def start_daemon(
        self, name: str, failure_domain: str, **overrides: Any
    ) -> DaemonProcess:
        """Start a daemon, with all daemons started before as its seeds.

        :param overrides: entries that are added to its settings file or replace others
        """
        callers, operators, peers = (f"{LOOPBACK}:{free_port()}" for _ in range(3))
        advertised = self._start_relay(name, peers) if self._with_relays else peers
        cfg = {
            "name": name,
            "failure_domain": failure_domain,
            "callers": callers,
            "operators": operators,
            "peers": peers,
            "peers_advertised": advertised,
            "seeds": [daemon.peers_address for daemon in self.daemons.values()],
            "platform": self._platform_settings(),
            "operator_tokens": self.operator_digests,
            "drain_delay": f"{DRAIN_DELAY_MS}ms",
        }
        if self.authority is not None:
            cfg["tls"] = self._issue_certificate(name)
        path = self.folder / f"{name}.yaml"
        path.write_text(yaml.safe_dump(cfg | overrides))
        command = [sys.executable, "-m", "cowsliphitch.daemon", "--settings", str(path)]
        daemon = DaemonProcess(
            name=name,
            url=f"http://{callers}",
            popen=self._spawn(name, command),
            operators_url=f"http://{operators}",
            peers_address=advertised,
            failure_domain=failure_domain,
            settings=path,
        )
        self.daemons[name] = daemon
        return daemon

    def restart_daemon(self, name: str, **platform: str) -> DaemonProcess:
        """Restart a daemon with its settings file.

        :param platform: replacements for the addresses of the platform's services
        """
        previous = self.daemons[name]
        cfg = yaml.safe_load(previous.settings.read_text())
        cfg["platform"] = self._platform_settings() | platform
        previous.settings.write_text(yaml.safe_dump(cfg))
        command = [sys.executable, "-m", "cowsliphitch.daemon"]
        popen = self._spawn(name, [*command, "--settings", str(previous.settings)])
        self.daemons[name] = attrs.evolve(previous, popen=popen)
        return self.daemons[name]

    def _platform_settings(self) -> dict[str, str]:
        return {
            "kv": self.processes["kv"].url,
            "vm_list": self.processes["vm-list"].url,
        }

    def _issue_certificate(self, name: str) -> dict[str, str]:
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
        """Wait until every process responds.

        :raises FleetStartError: a process ended or does not respond in time
        """
        try:
            for process in self.processes.values():
                self._wait_for_answer(
                    process, lambda p=process: self._is_responding(p.url)
                )
            for daemon in self.daemons.values():
                url = f"{daemon.url}/healthz"
                self._wait_for_answer(daemon, lambda u=url: self.http_status(u) == 200)
        except (TimeoutError, ChildProcessError) as exc:
            raise FleetStartError(f"{exc}\n{self.describe_processes()}") from exc

    def _wait_for_answer(self, process: Process, is_answering: Any) -> None:
        """Wait until a process responds.

        :raises ChildProcessError: it ended
        :raises TimeoutError: it does not respond in time
        """

        def condition() -> bool:
            if not process.is_alive:
                status = process.popen.returncode
                raise ChildProcessError(f"{process.name} ended with status {status}")
            return bool(is_answering())

        wait_for(f"{process.name} answers", condition)

    def describe_processes(self) -> str:
        """Return the state of each process and the end of its output."""
        lines: list[str] = []
        for process in (*self.processes.values(), *self.daemons.values()):
            status = process.popen.poll()
            state = "runs" if status is None else f"ended with status {status}"
            lines.append(f"{process.name} (pid {process.popen.pid}) {state}")
            output = (self.folder / f"{process.name}.log").read_text(errors="replace")
            tail = output.splitlines()[-MAX_QUOTED_LINES:]
            lines.extend(f"    {line}" for line in tail)
        return "\n".join(lines)

    def wait_until_ready(self) -> None:
        """Wait until every running daemon is ready and lists all upstreams.

        :raises TimeoutError: if a daemon is not ready in time
        """
        upstream_count = sum(1 for vm in self._vms if vm["pool"])
        for daemon in self.daemons.values():
            if not daemon.is_alive:
                continue
            url = f"{daemon.url}/readyz"
            wait_for(
                f"{daemon.name} is ready", lambda u=url: self.http_status(u) == 200
            )
            wait_for(
                f"{daemon.name} knows the upstreams",
                lambda d=daemon: (
                    len(self.query_daemon(d.name, "/v1/upstreams")) == upstream_count
                ),
            )

    def query_daemon(self, daemon: str, path: str) -> Any:
        """Return the JSON body of a GET on a daemon's interface for operators.

        :returns: the decoded body, or ``None`` if the status is not 2xx
        """
        headers = {"authorization": f"Bearer {self.operator_token}"}
        resp = self.http.get(self.daemons[daemon].operators_url + path, headers=headers)
        return resp.json() if resp.is_success else None

    def set_faults(self, name: str, **switches: Any) -> None:
        """Set fault switches of a stand-in; the others keep their values.

        :param switches: fields of :class:`Faults` and their values
        :raises httpx.HTTPStatusError: if a switch is unknown
        """
        url = f"{self.processes[name].url}/faults"
        self.http.post(url, json=switches).raise_for_status()

    def copy_store(self) -> None:
        """Have the key-value store keep a copy of itself to come back to."""
        self.http.post(f"{self.processes['kv'].url}/copy").raise_for_status()

    def restore_store(self) -> None:
        """Have the key-value store come back from its copy, in a new era."""
        self.http.post(f"{self.processes['kv'].url}/restore").raise_for_status()

    def fetch_runs(self, name: str) -> list[dict[str, Any]]:
        """Return the executions that an upstream recorded, oldest first."""
        runs: list[dict[str, Any]] = self.http.get(
            f"{self.processes[name].url}/record"
        ).json()["runs"]
        return runs

    def operator_token_of(self, operator: str) -> str:
        """Return the token of an operator."""
        return self._operator_tokens[operator]

    def cli(
        self, daemon: str, *args: str, token: str | None = None
    ) -> "subprocess.CompletedProcess[str]":
        """Run the operators' command against a daemon.

        :param token: token to send instead of the first operator's
        """
        env = os.environ | {
            "COWSLIPHITCH_DAEMON": self.daemons[daemon].operators_url,
            "COWSLIPHITCH_OPERATOR_TOKEN": token or self.operator_token,
        }
        command = [sys.executable, "-m", "cowsliphitch.operators", *args]
        return subprocess.run(
            command, env=env, capture_output=True, text=True, check=False
        )

    def _is_responding(self, url: str) -> bool:
        return self.http_status(f"{url}/faults") == httpx.codes.OK

    def http_status(self, url: str) -> int:
        """Return the HTTP status of a GET on a URL, 0 if the request fails."""
        try:
            return self.http.get(url).status_code
        except httpx.HTTPError:
            return 0

    def stop(self) -> dict[str, int]:
        """Stop daemons, then stand-ins, with SIGTERM and return the exit codes by name.

        Paused processes are continued first, since they could not handle the signal.
        """
        codes: dict[str, int] = {}
        for group in (self.daemons.values(), self.processes.values()):
            running = [process for process in group if process.is_alive]
            for process in running:
                process.signal(signal.SIGCONT)
                process.popen.terminate()
            codes |= {process.name: process.stop() for process in running}
        return codes
