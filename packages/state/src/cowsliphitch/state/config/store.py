"""Store and read configurations in the platform's key-value service."""

import anyio
import attrs
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
from cowsliphitch.core.settings.models import Settings
from cowsliphitch.platform.store.client import KeyValueClient
from cowsliphitch.platform.store.models import (
    Applied,
    Conflict as KeyConflict,
    Unavailable,
    WriteOutcomeUnknown,
)

from . import const
from .models import (
    LostRace,
    OutcomeUnknown,
    PlatformDown,
    Root,
    Stored,
    SubmitResult,
    Unchanged,
)


@attrs.frozen
class Author:
    """Who makes a change, and why."""

    who: str
    note: str


class ConfigStore:
    """The configuration in the key-value service."""

    def __init__(self, kv: KeyValueClient, clock: Clock) -> None:
        """Use an open client."""
        self._kv = kv
        self._clock = clock

    async def root(self) -> Result[Root, Unavailable]:
        """Read the manifest in force."""
        return (await self._kv.get(keys.ROOT_KEY)).and_then(
            lambda entry: (
                Ok(Root(Manifest(), 0))
                if entry is None
                else parse_root(entry.value, entry.revision)
            )
        )

    async def snapshot(
        self, manifest: Manifest, known: Snapshot | None
    ) -> Result[Snapshot, Unavailable]:
        """Read the values of a manifest, except those that are known already."""
        have = (
            {known.manifest.branches[path]: text for path, text in known.values.items()}
            if known
            else {}
        )
        values: dict[str, str] = {}
        for path, digest in manifest.branches.items():
            if digest in have:
                values[path] = have[digest]
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
        """Store new settings on top of the revision that the operator edited."""
        match await self.root():
            case Err(unavailable):
                return PlatformDown(unavailable.detail)
            case Ok(root):
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
                match plan_change(root.manifest, base_revision, settings, entry):
                    case Err(conflict):
                        return await self._lost(entry, conflict)
                    case Ok(plan) if not plan.entry.branches:
                        return Unchanged(root.manifest.revision)
                    case Ok(plan):
                        return await self._write(plan, root)

    async def _write(self, plan: PlannedChange, root: Root) -> SubmitResult:
        """Write values and audit entry, then move the root."""
        end_ms = self._clock.now_ms() + const.SUBMIT_TIMEOUT_MS
        texts = {
            keys.VALUE_KEY.format(digest=plan.manifest.branches[path]): text
            for path, text in plan.values.items()
        }
        texts[keys.CHANGE_KEY.format(change=plan.entry.change)] = to_json(plan.entry)
        for key, text in texts.items():
            if not await self._write_immutable(key, text, end_ms):
                return PlatformDown("the platform stored no value in time")
        return await self._move_root(plan, root, end_ms)

    async def _write_immutable(self, key: str, text: str, end_ms: int) -> bool:
        """Write a value that is the same whoever writes it."""
        while self._clock.now_ms() < end_ms:
            match await self._kv.put(key, text, expected=0):
                case Applied() | KeyConflict():
                    return True
                case WriteOutcomeUnknown():
                    await anyio.sleep(seconds(const.RETRY_DELAY_MS))
        return False

    async def _move_root(
        self, plan: PlannedChange, root: Root, end_ms: int
    ) -> SubmitResult:
        """Compare-and-swap the root until the outcome is known.

        A write whose answer was lost may still be on its way.  Only a later write at
        the same revision, applied or refused, tells what became of it.
        """
        text = to_json(plan.manifest)
        stored = Stored(plan.manifest.revision, plan.entry.change)
        while self._clock.now_ms() < end_ms:
            match await self._kv.put(keys.ROOT_KEY, text, root.key_revision):
                case Applied():
                    return stored
                case KeyConflict():
                    settled = await self._settle(plan, stored)
                    if settled is not None:
                        return settled
                case WriteOutcomeUnknown():
                    pass
            await anyio.sleep(seconds(const.RETRY_DELAY_MS))
        return OutcomeUnknown(plan.entry.change, "the platform gave no answer in time")

    async def _settle(self, plan: PlannedChange, stored: Stored) -> SubmitResult | None:
        """Find out whether our manifest is the root or was one before it."""
        match await self.root():
            case Err(_):
                return None
            case Ok(root):
                pass
        change = root.manifest.change
        revision = root.manifest.revision
        while revision > stored.revision:
            match await self._change(change):
                case Ok(entry) if entry is not None:
                    change, revision = entry.previous, entry.revision - 1
                case _:
                    return None
        if change == stored.change:
            return stored
        base = stored.revision - 1
        return await self._lost(plan.entry, Conflict(base, root.manifest))

    async def _lost(self, entry: Change, conflict: Conflict) -> SubmitResult:
        """Name the loser of a race in the audit trail."""
        rejected = Rejected(
            entry.change,
            entry.who,
            entry.wall_ms,
            entry.note,
            conflict.base_revision,
            conflict.current.change,
        )
        key = keys.REJECTED_KEY.format(base=conflict.base_revision, change=entry.change)
        await self._kv.put(key, to_json(rejected), expected=0)
        match await self._change(conflict.current.change):
            case Ok(winner) if winner is not None:
                return LostRace(conflict, winner.who)
            case _:
                return LostRace(conflict, "unknown")

    async def _change(self, change: str) -> Result[Change | None, Unavailable]:
        """Read one entry of the audit trail."""
        found = await self._kv.get(keys.CHANGE_KEY.format(change=change))
        match found:
            case Ok(entry) if entry is not None:
                return from_json(entry.value, Change).map_err(Unavailable)
            case Ok(_):
                return Ok(None)
            case Err(unavailable):
                return Err(unavailable)

    async def history(self, limit: int) -> Result[tuple[Change, ...], Unavailable]:
        """Read the audit trail, newest change first, along its chain."""
        found: list[Change] = []
        match await self.root():
            case Err(unavailable):
                return Err(unavailable)
            case Ok(root):
                change = root.manifest.change
        while change and len(found) < min(limit, const.MAX_HISTORY):
            match await self._change(change):
                case Ok(entry) if entry is not None:
                    found.append(entry)
                    change = entry.previous
                case Ok(_):
                    return Err(Unavailable("an entry of the audit trail is missing"))
                case Err(unavailable):
                    return Err(unavailable)
        return Ok(tuple(found))

    async def rejected(self) -> Result[tuple[Rejected, ...], Unavailable]:
        """Read the changes that lost a race."""
        entries = await self._kv.scan(keys.REJECTED_PREFIX)
        return entries.map(
            lambda found: tuple(
                parsed.ok_value
                for parsed in (from_json(e.value, Rejected) for e in found.entries)
                if isinstance(parsed, Ok)
            )
        )


def parse_root(text: str, key_revision: int) -> Result[Root, Unavailable]:
    """Read the manifest from its stored text."""
    parsed = from_json(text, Manifest).map_err(Unavailable)
    return parsed.map(lambda manifest: Root(manifest, key_revision))
