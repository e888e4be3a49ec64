"""Configuration of this daemon, applied from the platform or from peers.

A revision is applied only if it is newer than the one in force, so a configuration
never reverts when the store or a peer returns an older one.
"""

import logging
from collections.abc import Callable

import anyio
import attrs
from result import Err, Ok, Result

from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.config import const as keys
from cowsliphitch.core.config.build import SettingsBuilder
from cowsliphitch.core.config.models import (
    Manifest,
    Snapshot,
    branch_values,
    is_newer,
)
from cowsliphitch.core.kv.models import KeyRead, KeyUnchanged, Unavailable
from cowsliphitch.core.revisions import NO_REVISION
from cowsliphitch.core.settings.models import EMPTY_SETTINGS, Settings
from cowsliphitch.platform.store.client import KeyValueClient

from . import const
from .models import Author, Root, RootUpdate, Stored, SubmitResult
from .store import NO_ROOT, ConfigStore, parse_root

_LOGGER = logging.getLogger(__name__)

Listener = Callable[[Settings], None]


@attrs.define
class Diagnostics:
    """Counters of the configuration, for the operators' diagnostics.

    :param refused_older: configurations that were not newer than the one in force
    """

    applied: int = 0
    refused_older: int = 0
    invalid: int = 0


class ConfigCoordinator:
    """Holds the configuration in force and passes each new one to its listeners.

    :param is_watcher: returns whether this daemon watches the root in the key-value
        store; the others get changes from their peers, and poll the root at a low rate
        in case these miss one
    """

    def __init__(
        self, kv: KeyValueClient, clock: Clock, is_watcher: Callable[[], bool]
    ) -> None:
        """Initialize with empty settings and no configuration."""
        self._kv = kv
        self._store = ConfigStore(kv, clock)
        self._is_watcher = is_watcher
        self._builder = SettingsBuilder()
        self._listeners: list[Listener] = []
        self._watched_revision = NO_REVISION
        self._root_revision = 0
        self._available = True
        self.snapshot: Snapshot | None = None
        self.settings = EMPTY_SETTINGS
        self.diagnostics = Diagnostics()

    @property
    def revision(self) -> int:
        """Return the revision in force in this daemon, 0 if there is none yet."""
        return self.snapshot.manifest.revision if self.snapshot else 0

    def add_listener(self, listener: Listener) -> None:
        """Call ``listener`` with the settings tree of each new configuration."""
        self._listeners.append(listener)

    async def run(self) -> None:
        """Apply each new root, until cancelled."""
        while True:
            match await self._next_root():
                case Ok(update):
                    self._set_available(True)
                    await self._process_update(update)
                case Err(_):
                    self._set_available(False)
                    # The store may have come back from a copy, and given out the
                    # revision again.
                    self._watched_revision = NO_REVISION
                    await anyio.sleep(seconds(const.RETRY_DELAY_MS))

    async def _process_update(self, update: RootUpdate) -> None:
        """Apply a root that was read, and set where the watch continues."""
        if update.root is None:
            # A peer's configuration that the store still lacks may be lost.
            is_ahead = self.revision > self._root_revision
            self._watched_revision = NO_REVISION if is_ahead else update.at
            return
        if await self._apply_root(update.root, update.at.era):
            self._root_revision = update.root.manifest.revision
            self._watched_revision = update.at

    async def _next_root(self) -> Result[RootUpdate, Unavailable]:
        """Wait for a change of the root, or for the next poll.

        Without a configuration, a daemon that is not a watcher watches the root too.
        """
        after = self._watched_revision
        if not self._is_watcher() and self.snapshot is not None:
            await anyio.sleep(seconds(const.FALLBACK_POLL_INTERVAL_MS))
            after = NO_REVISION
        match await self._kv.watch_key(keys.ROOT_KEY, after):
            case Ok(KeyUnchanged(at)):
                return Ok(RootUpdate(None, at))
            case Ok(KeyRead(None, at)):
                return Ok(RootUpdate(NO_ROOT, at))
            case Ok(KeyRead(entry, at)):
                assert entry is not None
                return parse_root(entry.value, entry.revision).map(
                    lambda root: RootUpdate(root, at)
                )
            case Err(unavailable):
                return Err(unavailable)
        raise AssertionError("result is neither Ok nor Err")

    async def _apply_root(self, root: Root, era: int) -> bool:
        """Read the values of a root and apply them, if the root is newer.

        If the store has come back from an older copy, the settings in force are stored
        again.

        :param era: era of the store that has the root
        :returns: whether the root was processed; if a value can't be read, the root
            must be read again
        """
        if not is_newer(self.snapshot, root.manifest):
            if root.manifest.revision < self.revision and root.manifest.era < era:
                await self._store_again(root, era)
            return True
        match await self._store.read_snapshot(root.manifest, self.snapshot):
            case Ok(snapshot):
                self.offer(snapshot)
                return True
            case Err(_):
                await anyio.sleep(seconds(const.RETRY_DELAY_MS))
                return False

    async def _store_again(self, root: Root, era: int) -> None:
        """Store the settings in force again; of several daemons, one succeeds."""
        result = await self._store.store_again(self.settings, root)
        _LOGGER.warning(
            "The store came back in era %d with configuration %d, not %d; "
            "the latter was stored again: %s",
            era,
            root.manifest.revision,
            self.revision,
            result,
        )

    async def submit(
        self, settings: Settings, base_revision: int, author: Author
    ) -> SubmitResult:
        """Store a change, and apply it at once.

        This daemon then has it in force if the store loses it before others read it.

        :param base_revision: the revision that the operator edited
        """
        result = await self._store.submit(settings, base_revision, author)
        if isinstance(result, Stored):
            self.offer(Snapshot(result.manifest, branch_values(settings)))
        return result

    def is_newer_revision(self, revision: int) -> bool:
        """Return whether a revision is newer than the one in force."""
        return revision > self.revision

    def offer(self, snapshot: Snapshot) -> bool:
        """Apply a snapshot if it is valid and newer than the one in force.

        :returns: whether it was applied
        """
        manifest: Manifest = snapshot.manifest
        if not is_newer(self.snapshot, manifest):
            self.diagnostics.refused_older += 1
            return False
        match self._builder.build(snapshot):
            case Err(problems):
                self.diagnostics.invalid += 1
                _LOGGER.error(
                    "Configuration %d is invalid and was not applied: %s",
                    manifest.revision,
                    problems[0],
                )
                return False
            case Ok(settings):
                self.snapshot = snapshot
                self.settings = settings
        self.diagnostics.applied += 1
        _LOGGER.info("Configuration %d was applied", manifest.revision)
        for listener in self._listeners:
            listener(self.settings)
        return True

    def _set_available(self, available: bool) -> None:
        if available is self._available:
            return
        self._available = available
        if available:
            _LOGGER.info("Key-value store is available again")
        else:
            _LOGGER.warning(
                "Key-value store is unavailable; "
                "configuration updates arrive only from peers"
            )
