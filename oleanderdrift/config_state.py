"""Applies the records of the `config` stream to the configuration.

Every reader, the operators' command line included, calls apply with the
same records in the same order and so reaches the same verdict on each.
Nothing here does I/O or generates ids.
"""

import hashlib
import typing

import msgspec

from oleanderdrift import codes
from oleanderdrift import config_checks
from oleanderdrift import errors
from oleanderdrift import messages
from oleanderdrift import model

MAX_RECENT_VERDICTS: typing.Final = 1024
_DECODERS: typing.Final[
    dict[model.Kind, msgspec.json.Decoder[model.ConfigObject]]
] = {kind: msgspec.json.Decoder(type_) for kind, type_ in model.TYPES.items()}


def objects(config: model.Config, kind: model.Kind) -> dict[str, typing.Any]:
    """Returns the index of the objects of one kind.

    Keys are indexed by their SHA-256 digest, other objects by name.
    """
    match kind:
        case model.Kind.ACCOUNT:
            return config.accounts
        case model.Kind.KEY:
            return config.keys
        case model.Kind.CLASS:
            return config.classes
        case model.Kind.MODEL:
            return config.models
        case model.Kind.TOOL:
            return config.tools
        case model.Kind.ROUTE:
            return config.routes
        case model.Kind.UPSTREAM:
            return config.upstreams


def find(
    config: model.Config, kind: model.Kind, name: str
) -> model.ConfigObject | None:
    """Returns the object with this kind and name, or None."""
    if (kind, name) not in config.versions:
        return None
    if kind is not model.Kind.KEY:
        found: model.ConfigObject = objects(config, kind)[name]
        return found
    return next(key for key in config.keys.values() if key.name == name)


def apply(
    config: model.Config, offset: int, message: messages.Message
) -> model.Verdict:
    """Applies the record at offset to config and returns the verdict.

    A snapshot changes nothing unless it restores the configuration for
    an operator: a reader that has applied every record before it has the
    same state already.  Other readers use load.  Raises ResultError
    INVARIANT_BROKEN for an offset that was applied before.
    """
    if offset < config.next_offset:
        raise errors.ResultError(
            codes.INVARIANT_BROKEN,
            f'config offset {offset} is before {config.next_offset}',
        )
    config.next_offset = offset + 1
    match message:
        case messages.ConfigChange():
            return _apply_change(config, offset, message)
        case messages.ConfigSnapshot(restores=True):
            return _restore(config, message)
        case messages.ConfigSnapshot():
            return _accepted(0)
        case _:
            return _refused(
                codes.CONFIG_INVALID,
                f'{type(message).__name__} is no configuration record',
                0,
            )


def _apply_change(
    config: model.Config, offset: int, change: messages.ConfigChange
) -> model.Verdict:
    first_verdict = config.recent_verdicts.get(change.change_id)
    if first_verdict is not None:
        return first_verdict
    verdict = _evaluate_change(config, offset, change)
    for applied in verdict.changes:
        _replace_object(
            config,
            applied.kind,
            applied.name,
            applied.before,
            applied.after,
            offset,
        )
    _store_verdict(
        config,
        change.change_id,
        model.Verdict(
            accepted=verdict.accepted,
            code=verdict.code,
            detail=verdict.detail,
            version=verdict.version,
        ),
    )
    return verdict


def _evaluate_change(
    config: model.Config, offset: int, change: messages.ConfigChange
) -> model.Verdict:
    try:
        kind = model.Kind(change.kind)
    except ValueError:
        return _refused(
            codes.CONFIG_INVALID, f'{change.kind!r} is no kind of object', 0
        )
    version = config.versions.get((kind, change.name), 0)
    if change.expected_version not in (messages.ANY_VERSION, version):
        return _refused(
            codes.CONFIG_CONFLICT,
            f'{kind} {change.name} is at version {version}, the change '
            f'expects {change.expected_version}',
            version,
        )
    before = find(config, kind, change.name)
    try:
        after = config_checks.validate_change(config, kind, change, before)
    except config_checks.InvalidChange as error:
        return _refused(codes.CONFIG_INVALID, str(error), version)
    applied = model.ObjectChange(
        offset=offset,
        kind=kind,
        name=change.name,
        before=before,
        after=after,
    )
    return _accepted(0 if after is None else offset, (applied,))


def _replace_object(
    config: model.Config,
    kind: model.Kind,
    name: str,
    before: model.ConfigObject | None,
    after: model.ConfigObject | None,
    version: int,
) -> None:
    index = objects(config, kind)
    if before is not None:
        del index[_index_key(before)]
        del config.versions[kind, name]
    if after is not None:
        index[_index_key(after)] = after
        config.versions[kind, name] = version


def _index_key(item: model.ConfigObject) -> str:
    match item:
        case model.ApiKey():
            return item.sha256
        case _:
            return item.name


def _store_verdict(
    config: model.Config, change_id: str, verdict: model.Verdict
) -> None:
    config.recent_verdicts[change_id] = verdict
    if len(config.recent_verdicts) > MAX_RECENT_VERDICTS:
        del config.recent_verdicts[next(iter(config.recent_verdicts))]


def _accepted(
    version: int, changes: tuple[model.ObjectChange, ...] = ()
) -> model.Verdict:
    return model.Verdict(
        accepted=True,
        code=codes.OK,
        detail=codes.OK.help,
        version=version,
        changes=changes,
    )


def _refused(
    code: codes.ResultCode, detail: str, version: int
) -> model.Verdict:
    return model.Verdict(
        accepted=False, code=code, detail=detail, version=version
    )


def snapshot(config: model.Config) -> messages.ConfigSnapshot:
    """Returns the configuration as one message, which load reads."""
    parts = [
        messages.SnapshotObject(
            kind=kind,
            name=item.name,
            version=config.versions[kind, item.name],
            body=msgspec.json.encode(item),
        )
        for kind in model.Kind
        for item in objects(config, kind).values()
    ]
    recent = [
        messages.SnapshotVerdict(
            change_id=change_id,
            code=verdict.code.number,
            detail=verdict.detail,
            version=verdict.version,
        )
        for change_id, verdict in config.recent_verdicts.items()
    ]
    return messages.ConfigSnapshot(
        next_offset=config.next_offset,
        objects=tuple(parts),
        recent=tuple(recent),
    )


def load(
    config: model.Config, message: messages.ConfigSnapshot
) -> tuple[model.ObjectChange, ...]:
    """Replaces config by a newer snapshot; returns the differences.

    A snapshot that is not newer than config is ignored.  Raises
    ResultError CONFIG_INVALID, with config unchanged, for a snapshot that
    cannot be decoded.
    """
    if message.next_offset <= config.next_offset:
        return ()
    loaded = _decode_snapshot(message)
    config.next_offset = loaded.next_offset
    return _replace_all(config, loaded)


def _restore(
    config: model.Config, message: messages.ConfigSnapshot
) -> model.Verdict:
    try:
        loaded = _decode_snapshot(message)
    except errors.ResultError as error:
        return _refused(error.code, error.detail, 0)
    return _accepted(0, _replace_all(config, loaded))


def _replace_all(
    config: model.Config, loaded: model.Config
) -> tuple[model.ObjectChange, ...]:
    """Replaces all but next_offset; returns the differences."""
    changes = _differences(config, loaded)
    for kind in model.Kind:
        index = objects(config, kind)
        index.clear()
        index.update(objects(loaded, kind))
    config.versions.clear()
    config.versions.update(loaded.versions)
    config.recent_verdicts = loaded.recent_verdicts
    return changes


def _decode_snapshot(message: messages.ConfigSnapshot) -> model.Config:
    loaded = model.Config(next_offset=message.next_offset)
    try:
        for part in message.objects:
            kind = model.Kind(part.kind)
            item = _DECODERS[kind].decode(part.body)
            _replace_object(loaded, kind, part.name, None, item, part.version)
        for old in message.recent:
            loaded.recent_verdicts[old.change_id] = model.Verdict(
                accepted=old.code == codes.OK.number,
                code=codes.TABLE[old.code],
                detail=old.detail,
                version=old.version,
            )
    except (ValueError, KeyError) as error:
        raise errors.ResultError(
            codes.CONFIG_INVALID, f'unreadable snapshot: {error}'
        ) from error
    return loaded


def _differences(
    old: model.Config, new: model.Config
) -> tuple[model.ObjectChange, ...]:
    before, after = _index_by_id(old), _index_by_id(new)
    return tuple(
        model.ObjectChange(
            offset=new.versions.get((kind, name), new.next_offset - 1),
            kind=kind,
            name=name,
            before=before.get((kind, name)),
            after=after.get((kind, name)),
        )
        for kind, name in sorted(before.keys() | after.keys())
        if old.versions.get((kind, name)) != new.versions.get((kind, name))
    )


def _index_by_id(
    config: model.Config,
) -> dict[tuple[model.Kind, str], model.ConfigObject]:
    return {
        (kind, item.name): item
        for kind in model.Kind
        for item in objects(config, kind).values()
    }


def key_digest(bearer_key: str) -> str:
    """Returns the SHA-256 digest of a key, in hex."""
    return hashlib.sha256(bearer_key.encode()).hexdigest()


def authenticate(
    config: model.Config,
    bearer_key: str,
    withdrawn: typing.Container[str] = (),
) -> model.ApiKey:
    """Returns the key's record; withdrawn holds digests to refuse.

    The lookup is by digest, not by key: its timing can reveal only
    something about the digest of a guessed key, which is of no use for
    finding a valid one.  Raises ResultError MISSING_KEY or UNKNOWN_KEY.
    """
    if not bearer_key:
        raise errors.ResultError(codes.MISSING_KEY)
    digest = key_digest(bearer_key)
    key = config.keys.get(digest)
    if key is None or digest in withdrawn:
        raise errors.ResultError(codes.UNKNOWN_KEY)
    return key


def find_route(config: model.Config, path: str) -> model.Route | None:
    """Returns the route with the longest matching prefix, or None.

    Prefixes match whole path segments: /desk matches /desk and /desk/a,
    but not /desks.
    """
    matching = [
        route
        for route in config.routes.values()
        if path == route.prefix
        or path.startswith(route.prefix.rstrip('/') + '/')
    ]
    return max(matching, key=lambda route: len(route.prefix), default=None)
