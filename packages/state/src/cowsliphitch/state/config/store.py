"""Storage of the configuration in the platform's key-value store.

A change writes its values and its entry of the audit trail first, then replaces the
root by compare-and-swap.  Concurrent changes can't overwrite each other, and a change
whose answer was lost is either confirmed or reported as unknown.
"""

from collections.abc import Mapping
from typing import Final

import anyio
from result import Err, Ok, Result

from cowsliphitch.core import ids
from cowsliphitch.core.clock import Clock, seconds
from cowsliphitch.core.codec import from_json, to_json
from cowsliphitch.core.config import const as keys
from cowsliphitch.core.config.models import (
    Change,
    Conflict,
    Manifest,
    PlannedChange,
    Rejected,
    Snapshot,
    plan_change,
)
from cowsliphitch.core.kv.models import (
    Applied,
    Conflict as KeyConflict,
    Unavailable,
    WriteOutcomeUnknown,
)
from cowsliphitch.core.revisions import NO_REVISION, Revision
from cowsliphitch.core.settings.models import Settings
from cowsliphitch.platform.store.client import KeyValueClient

from . import const
from .models import (
    Author,
    OutcomeUnknown,
    Root,
    Stored,
    StoreUnavailable,
    SubmitConflict,
    SubmitResult,
    Unchanged,
)

NO_ROOT: Final = Root(Manifest(), NO_REVISION)


class ConfigStore:
    """Reads and writes configurations and their audit trail."""

    def __init__(self, kv: KeyValueClient, clock: Clock) -> None:
        """Initialize with a client of the key-value store."""
        self._kv = kv
        self._clock = clock

    async def read_root(self) -> Result[Root, Unavailable]:
        """Read the root.

        :returns: the root, ``NO_ROOT`` if none is stored
        """
        return (await self._kv.get(keys.ROOT_KEY)).and_then(
            lambda entry: (
                Ok(NO_ROOT)
                if entry is None
                else parse_root(entry.value, entry.revision)
            )
        )

    async def read_snapshot(
        self, manifest: Manifest, cached: Snapshot | None
    ) -> Result[Snapshot, Unavailable]:
        """Read the values of a manifest.

        :param cached: an earlier snapshot, whose values are not read again
        """
        value_by_digest = (
            {
                cached.manifest.branches[path]: text
                for path, text in cached.values.items()
            }
            if cached
            else {}
        )
        values: dict[str, str] = {}
        for path, digest in manifest.branches.items():
            if digest in value_by_digest:
                values[path] = value_by_digest[digest]
                continue
            match await self._kv.get(keys.VALUE_KEY.format(digest=digest)):
                case Ok(entry) if entry is not None:
                    values[path] = entry.value
                case Ok(_):
                    return Err(Unavailable(f"the value of {path} is missing"))
                case Err(unavailable):
                    return Err(unavailable)
        return Ok(Snapshot(manifest, values))

    async def submit(
        self, settings: Settings, base_revision: int, author: Author
    ) -> SubmitResult:
        """Store new settings, unless another change was stored since the base revision.

        :param base_revision: the revision that the operator edited
        """
        match await self.read_root():
            case Err(unavailable):
                return StoreUnavailable(unavailable.detail)
            case Ok(root):
                return await self._submit_on(root, settings, base_revision, author)

    async def store_again(self, settings: Settings, root: Root) -> SubmitResult:
        """Store settings that are in force, after the store has lost them.

        :param root: the root that the store came back with
        """
        return await self._submit_on(
            root, settings, root.manifest.revision, const.RECOVERY_AUTHOR
        )

    async def _submit_on(
        self, root: Root, settings: Settings, base_revision: int, author: Author
    ) -> SubmitResult:
        wall_ms = self._clock.wall_ms()
        entry = Change(
            change=ids.new_id(wall_ms),
            revision=0,
            previous="",
            who=author.who,
            wall_ms=wall_ms,
            note=author.note,
            branches=(),
        )
        era = root.key_revision.era or self._kv.era
        match plan_change(root.manifest, base_revision, settings, entry, era):
            case Err(conflict):
                return await self._record_rejected(entry, conflict)
            case Ok(plan) if not plan.entry.branches:
                return Unchanged(root.manifest.revision)
            case Ok(plan):
                return await self._write(plan, root)

    async def _write(self, plan: PlannedChange, root: Root) -> SubmitResult:
        """Write the values and the audit entry, then replace the root.

        If the store comes back from an older copy meanwhile, it may have the root and
        lack the values, so they are written again.
        """
        deadline_ms = self._clock.now_ms() + const.SUBMIT_TIMEOUT_MS
        value_by_key = {
            keys.VALUE_KEY.format(digest=plan.manifest.branches[path]): text
            for path, text in plan.values.items()
        }
        value_by_key[keys.CHANGE_KEY.format(change=plan.entry.change)] = to_json(
            plan.entry
        )
        era = self._kv.era
        if not await self._write_values(value_by_key, deadline_ms):
            return StoreUnavailable("the platform stored no value in time")
        result = await self._replace_root(plan, root, deadline_ms)
        while isinstance(result, Stored) and self._kv.era != era:
            era = self._kv.era
            if not await self._write_values(value_by_key, deadline_ms):
                detail = "the platform came back without the values of the change"
                return OutcomeUnknown(plan.entry.change, detail)
        return result

    async def _write_values(
        self, value_by_key: Mapping[str, str], deadline_ms: int
    ) -> bool:
        """Write values one after the other; return whether the store has them all."""
        for key, text in value_by_key.items():
            if not await self._write_immutable(key, text, deadline_ms):
                return False
        return True

    async def _write_immutable(self, key: str, text: str, deadline_ms: int) -> bool:
        """Write a value under a key that only ever has this value.

        An existing key therefore counts as success.

        :returns: whether the key has the value now; ``False`` after the deadline
        """
        while self._clock.now_ms() < deadline_ms:
            match await self._kv.put(key, text, expected_revision=NO_REVISION):
                case Applied() | KeyConflict():
                    return True
                case WriteOutcomeUnknown():
                    await anyio.sleep(seconds(const.RETRY_DELAY_MS))
        return False

    async def _replace_root(
        self, plan: PlannedChange, root: Root, deadline_ms: int
    ) -> SubmitResult:
        """Replace the root by compare-and-swap, until the outcome is known.

        A write whose answer was lost may still reach the store.  Only a later write
        that expects the same revision, applied or refused, settles its outcome.
        """
        text = to_json(plan.manifest)
        stored = Stored(plan.manifest)
        while self._clock.now_ms() < deadline_ms:
            match await self._kv.put(keys.ROOT_KEY, text, root.key_revision):
                case Applied():
                    return stored
                case KeyConflict():
                    outcome = await self._resolve_conflict(plan, root, stored)
                    if outcome is not None:
                        return outcome
                case WriteOutcomeUnknown():
                    pass
            await anyio.sleep(seconds(const.RETRY_DELAY_MS))
        return OutcomeUnknown(plan.entry.change, "the platform gave no answer in time")

    async def _resolve_conflict(
        self, plan: PlannedChange, base: Root, stored: Stored
    ) -> SubmitResult | None:
        """Determine whether this change is in the chain of changes up to the root.

        Revisions in the chain are not consecutive: the first of an era skips some.

        The conflict may be with an earlier write of this same change, which was applied
        but whose answer was lost.

        :returns: the outcome, ``None`` if the chain could not be read
        """
        match await self.read_root():
            case Err(_):
                return None
            case Ok(root):
                pass
        change = root.manifest.change
        revision = root.manifest.revision
        while revision > stored.revision and change != stored.change:
            match await self._read_change(change):
                case Ok(entry) if entry is not None:
                    change, revision = entry.previous, entry.revision - 1
                case _:
                    return None
        if change == stored.change:
            return stored
        conflict = Conflict(base.manifest.revision, root.manifest)
        return await self._record_rejected(plan.entry, conflict)

    async def _record_rejected(self, entry: Change, conflict: Conflict) -> SubmitResult:
        """Record a rejected change in the audit trail.

        :returns: the conflict, with the operator whose change is in force
        """
        rejected = Rejected(
            entry.change,
            entry.who,
            entry.wall_ms,
            entry.note,
            conflict.base_revision,
            conflict.current.change,
        )
        key = keys.REJECTED_KEY.format(base=conflict.base_revision, change=entry.change)
        await self._kv.put(key, to_json(rejected), expected_revision=NO_REVISION)
        match await self._read_change(conflict.current.change):
            case Ok(winner) if winner is not None:
                return SubmitConflict(conflict, winner.who)
            case _:
                return SubmitConflict(conflict, "unknown")

    async def _read_change(self, change: str) -> Result[Change | None, Unavailable]:
        """Read an entry of the audit trail.

        :returns: the entry, ``None`` if it is absent
        """
        result = await self._kv.get(keys.CHANGE_KEY.format(change=change))
        match result:
            case Ok(entry) if entry is not None:
                return from_json(entry.value, Change).map_err(Unavailable)
            case Ok(_):
                return Ok(None)
            case Err(unavailable):
                return Err(unavailable)

    async def read_history(self, limit: int) -> Result[tuple[Change, ...], Unavailable]:
        """Read the audit trail, newest change first.

        The entries are linked by the change that precedes each.

        :param limit: maximum number of entries, capped at ``MAX_HISTORY_ENTRIES``
        """
        changes: list[Change] = []
        match await self.read_root():
            case Err(unavailable):
                return Err(unavailable)
            case Ok(root):
                change = root.manifest.change
        while change and len(changes) < min(limit, const.MAX_HISTORY_ENTRIES):
            match await self._read_change(change):
                case Ok(entry) if entry is not None:
                    changes.append(entry)
                    change = entry.previous
                case Ok(_):
                    return Err(Unavailable("an entry of the audit trail is missing"))
                case Err(unavailable):
                    return Err(unavailable)
        return Ok(tuple(changes))

    async def read_rejected(self) -> Result[tuple[Rejected, ...], Unavailable]:
        """Read the changes that were rejected because of a conflict.

        Entries that can't be decoded are left out.
        """
        entries = await self._kv.scan(keys.REJECTED_PREFIX)
        return entries.map(
            lambda listing: tuple(
                parsed.ok_value
                for parsed in (from_json(e.value, Rejected) for e in listing.entries)
                if isinstance(parsed, Ok)
            )
        )


def parse_root(text: str, key_revision: Revision) -> Result[Root, Unavailable]:
    """Decode the root from the value of its key."""
    parsed = from_json(text, Manifest).map_err(Unavailable)
    return parsed.map(lambda manifest: Root(manifest, key_revision))
