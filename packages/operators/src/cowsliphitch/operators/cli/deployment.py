"""Command that checks a settings document before the operator writes it."""

from pathlib import Path
from typing import Any, Final, cast

import anyio
import attrs
from cleo.commands.command import Command
from cleo.formatters.formatter import Formatter
from cleo.helpers import argument, option
from result import Err, Ok, Result

from cowsliphitch.core.clock import Clock
from cowsliphitch.core.deployment.check import (
    MAX_FINDINGS,
    CheckLimits,
    Finding,
    Severity,
    check_deployment,
    mask_key,
)
from cowsliphitch.core.deployment.difference import (
    MAX_DIFFERENCES,
    Difference,
    find_differences,
    find_keys,
)
from cowsliphitch.core.deployment.models import Deployment
from cowsliphitch.core.json_values import address, decode_object, number
from cowsliphitch.platform.operator_document import (
    KEY,
    SECRET_SECTION,
    decode_document,
    decode_rows,
)
from cowsliphitch.platform.store.client import KeyValueClient

from . import const

_MAX_DETAIL_LENGTH: Final = 300


@attrs.frozen
class _Document:
    """A document that is a JSON object.

    :param deployment: its settings, or why they can't be decoded
    """

    data: dict[str, Any]
    deployment: Result[Deployment, str]


class DeploymentCheckCommand(Command):
    """Check a settings document in the platform's format, and compare it."""

    name = "deployment check"
    description = "Check a settings document before it is written to the store."
    arguments = [argument("file", "The document, as the operator would write it.")]
    options = [
        option("in-force", None, "File with the version in force.", flag=False),
        option("store", None, "HOST:PORT of the store, to read it there.", flag=False),
        option(
            "memory-mb",
            None,
            "Memory of the deployment's smallest VM.",
            flag=False,
            default=str(const.SMALLEST_VM_MB),
        ),
    ]

    # Keys of both documents, masked wherever they are printed.
    _keys: frozenset[str] = frozenset()

    def handle(self) -> int:
        """Print the findings, then the differences from the version in force."""
        try:
            memory_mb = number(float(cast(str, self.option("memory-mb"))))
        except ValueError as exc:
            self._print_error(f"memory-mb: {exc}")
            return const.EXIT_INVALID
        name = cast(str, self.argument("file"))
        in_force, in_force_code = self._read_in_force()
        match _read_file(name).and_then(_parse):
            case Err(detail):
                self._print_error(f"{name}: {detail}")
                return const.EXIT_INVALID
            case Ok(document):
                pass
        self._keys |= find_keys(document.data)
        limits = _limits(memory_mb, in_force)
        has_errors = self._check(name, document, limits)
        if in_force is not None:
            self._compare(in_force, document)
        return const.EXIT_FAILED if has_errors else in_force_code

    def _read_in_force(self) -> tuple[_Document | None, int]:
        """Return the version in force if it is asked for, and an exit code."""
        file, store = self.option("in-force"), self.option("store")
        match file, store:
            case None, None:
                return None, const.EXIT_OK
            case str(), None:
                content, exit_code = _read_file(file), const.EXIT_INVALID
            case None, str():
                content = anyio.run(_read_store, store)
                exit_code = const.EXIT_UNAVAILABLE
            case _:
                content, exit_code = Err("also given as a file"), const.EXIT_INVALID
        match content.and_then(_parse):
            case Err(detail):
                self._print_error(f"version in force: {store or file}: {detail}")
                return None, exit_code
            case Ok(document):
                self._keys |= find_keys(document.data)
        if isinstance(document.deployment, Err):
            self._print_error(f"version in force: {document.deployment.err_value}")
            return document, const.EXIT_INVALID
        return document, const.EXIT_OK

    def _check(self, name: str, document: _Document, limits: CheckLimits) -> bool:
        """Print the findings and return whether one of them is an error."""
        match document.deployment:
            case Err(detail):
                self._print_error(f"{name}: {detail}; daemons ignore the document")
                return True
            case Ok(deployment):
                pass
        rows = decode_rows(document.data)
        findings = check_deployment(deployment, rows, limits)
        for finding in findings[:MAX_FINDINGS]:
            self._print(_format_finding(finding))
        if len(findings) > MAX_FINDINGS:
            self._print(f"and {len(findings) - MAX_FINDINGS} more findings")
        errors = sum(finding.severity is Severity.ERROR for finding in findings)
        self._print(
            f"{name}: version {deployment.version}, {len(deployment.all_routes())} "
            f"routes, {len(deployment.services)} services, "
            f"{len(rows.teams)} teams; "
            f"{errors} errors, {len(findings) - errors} warnings"
        )
        return errors > 0

    def _compare(self, in_force: _Document, document: _Document) -> None:
        try:
            found = find_differences(in_force.data, document.data, SECRET_SECTION)
        except ValueError as exc:
            self._print_error(f"difference: {exc}")
            return
        self._print(f"{len(found)} differences from the version in force")
        for difference in found[:MAX_DIFFERENCES]:
            self._print(_format_difference(difference))
        if len(found) > MAX_DIFFERENCES:
            self._print(f"and {len(found) - MAX_DIFFERENCES} more differences")

    def _print(self, text: str) -> None:
        self.line(self._printable(text))

    def _print_error(self, text: str) -> None:
        self.line_error(self._printable(text)[:_MAX_DETAIL_LENGTH])

    def _printable(self, text: str) -> str:
        """Return a line without API keys in which ``<`` has no special meaning."""
        for key in self._keys:
            text = text.replace(key, mask_key(key))
        return Formatter.escape(text)


def _read_file(name: str) -> Result[bytes, str]:
    try:
        return Ok(Path(name).read_bytes())
    except OSError as exc:
        return Err(str(exc.strerror))


async def _read_store(store: str) -> Result[bytes, str]:
    """Read the version in force from the store.

    :param store: its host and port
    """
    try:
        base_url = f"http://{address(store)}"
    except ValueError as exc:
        return Err(str(exc))
    client = KeyValueClient(base_url, Clock(), const.CALL_TIMEOUT_MS)
    try:
        match await client.get(KEY):
            case Err(unavailable):
                return Err(unavailable.detail)
            case Ok(entry) if entry is not None:
                return Ok(entry.value.encode())
            case _:
                return Err(f"the store has no key {KEY}")
    finally:
        await client.close()


def _parse(content: bytes) -> Result[_Document, str]:
    try:
        return Ok(_Document(decode_object(content), decode_document(content)))
    except ValueError as exc:
        return Err(str(exc))


def _limits(memory_mb: float, in_force: _Document | None) -> CheckLimits:
    """Return what a document is checked against.

    :param in_force: the version in force, ``None`` if it is not known
    """
    deployment = in_force.deployment.ok() if in_force is not None else None
    if deployment is None:
        return CheckLimits(memory_mb)
    return CheckLimits(memory_mb, deployment.version, deployment.requires_key)


def _format_finding(finding: Finding) -> str:
    return f"{finding.severity.value}: {finding.path}: {finding.detail}"


def _format_difference(difference: Difference) -> str:
    match difference:
        case Difference(path, None, new):
            return f"+ {path}: {new}"
        case Difference(path, old, None):
            return f"- {path}: {old}"
        case Difference(path, old, new):
            return f"~ {path}: {old} -> {new}"
