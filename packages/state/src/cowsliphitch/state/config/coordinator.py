"""Keep the configuration in force in this daemon."""

import logging
from collections.abc import Callable

import anyio
import attrs
from result import Err, Ok, Result

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.config import const as keys
from cowsliphitch.core.config.build import SettingsBuilder
from cowsliphitch.core.config.models import Manifest, Snapshot, is_newer
from cowsliphitch.core.settings.models import EMPTY_SETTINGS, Settings
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.platform.store.models import Unavailable

from . import const
from .models import Root
from .store import ConfigStore, parse_root

_LOGGER = logging.getLogger(__name__)

Listener = Callable[[Settings], None]


@attrs.define
class Diagnostics:
    """Counters of the coordinator, for metrics."""

    applied: int = 0
    refused_older: int = 0
    invalid: int = 0


class ConfigCoordinator:
    """One reader of the root; everybody else listens.

    :param is_watcher: whether this daemon waits on the platform for changes; the
        others learn from their peers and read the root only as a backstop
    """

    def __init__(
        self, kv: KeyValueClient, clock: Clock, is_watcher: Callable[[], bool]
    ) -> None:
        """Start without a configuration."""
        self._kv = kv
        self._store = ConfigStore(kv, clock)
        self._is_watcher = is_watcher
        self._builder = SettingsBuilder()
        self._listeners: list[Listener] = []
        self._key_revision = 0
        self._available = True
        self.snapshot: Snapshot | None = None
        self.settings = EMPTY_SETTINGS
        self.diagnostics = Diagnostics()

    @property
    def revision(self) -> int:
        """Return the revision in force in this daemon, 0 before the first."""
        return self.snapshot.manifest.revision if self.snapshot else 0

    def listen(self, listener: Listener) -> None:
        """Call ``listener`` with each new settings tree."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Follow the root for ever."""
        while True:
            match await self._next_root():
                case Ok(root) if root is not None:
                    self._note_available(True)
                    await self._follow(root)
                case Ok(_):
                    self._note_available(True)
                case Err(_):
                    self._note_available(False)
                    await anyio.sleep(seconds(const.RETRY_DELAY_MS))

    async def _next_root(self) -> Result[Root | None, Unavailable]:
        if not self._is_watcher() and self.snapshot is not None:
            await anyio.sleep(seconds(const.BACKSTOP_POLL_MS))
            return (await self._store.root()).map(lambda root: root)
        match await self._kv.watch_key(keys.ROOT_KEY, self._key_revision):
            case Ok(entry) if entry is not None:
                return parse_root(entry.value, entry.revision).map(lambda root: root)
            case Ok(_):
                return Ok(None)
            case Err(unavailable):
                return Err(unavailable)

    async def _follow(self, root: Root) -> None:
        """Read the values of a newer root and put them in force."""
        if not is_newer(self.snapshot, root.manifest):
            self._key_revision = root.key_revision
            return
        match await self._store.snapshot(root.manifest, self.snapshot):
            case Ok(snapshot):
                self.offer(snapshot)
                self._key_revision = root.key_revision
            case Err(_):
                await anyio.sleep(seconds(const.RETRY_DELAY_MS))

    def wants(self, manifest_revision: int) -> bool:
        """Tell whether a peer's revision is newer than the one in force."""
        return manifest_revision > self.revision

    def offer(self, snapshot: Snapshot) -> bool:
        """Put a snapshot in force, unless it is not newer or not valid.

        :returns: whether it is in force now
        """
        manifest: Manifest = snapshot.manifest
        if not is_newer(self.snapshot, manifest):
            self.diagnostics.refused_older += 1
            return False
        match self._builder.build(snapshot):
            case Err(problems):
                self.diagnostics.invalid += 1
                _LOGGER.error(
                    "Configuration %d is not valid: %s", manifest.revision, problems[0]
                )
                return False
            case Ok(settings):
                self.snapshot = snapshot
                self.settings = settings
        self.diagnostics.applied += 1
        _LOGGER.info("Configuration %d is in force", manifest.revision)
        for listener in self._listeners:
            listener(self.settings)
        return True

    def _note_available(self, available: bool) -> None:
        if available is self._available:
            return
        self._available = available
        if available:
            _LOGGER.info("Key-value service is back")
        else:
            _LOGGER.warning("Key-value service is lost")
