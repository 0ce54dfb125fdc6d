"""What a node is told at its start: environment and JSON file to checked values."""

from __future__ import annotations

import ipaddress
import json
import re
import socket
import sys
from collections.abc import Callable, Generator, Iterator, Mapping, Sequence
from dataclasses import dataclass, field, replace
from functools import lru_cache
from mmap import MADV_DONTNEED, mmap
from pathlib import Path
from sys import intern
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from balancer import interface as api
from balancer.errors import BalancerError
from balancer.net.rows import Layout, OddList, layout
from balancer.net.sharded_dict import ShardedDict
from balancer.net.stream import BASE_MEMORY_MB, UPGRADE_PROCESS_COUNT
from balancer.settings import parse_settings

PREFIX = "PROXY_"
PHASES = {
    "in_service": api.EndpointPhase.IN_SERVICE,
    "terminating": api.EndpointPhase.DRAINING,
    "terminated": api.EndpointPhase.REMOVED,
}
# Descriptors kept for what the process needs by itself: 16 for loop, log, listeners and lock, up to 5 for
# discovery's calls, 4 for the files and the port of a fleet, the rest for the callers of the console.
SPARE = 32
# Bytes that an entry of a table takes once it is read, the module's part included: measured, rounded up.
ENTRY_BYTES = {"settings: projects": 180, "settings: request-classes": 440, "known.members": 260}
LEAST_TABLES_MB = 8.0  # that the tables may take on the smallest node
CLIENT_PART = 0.6  # part of the other descriptors that clients may hold; backends get the rest
OVER = 16  # connections over the clients' part that still get an answer of their own, at most
BACK = 1024 * 1024  # bytes of a list that are given back in one turn
LET_GO = 512  # entries of a refused list that are given up in one turn
LEAVING = 2  # more that are closed, and whose descriptors are given back some turns of the loop later
LEAST = SPARE + LEAVING + 3  # of a process with one client, one over that, and one connection to a backend
ELDER = 5 / 8  # part of all descriptors that a process keeps to beside one that came later
ELDER_CLIENTS = 0.75  # of those, but for what it needs by itself, at most


class ConfigError(BalancerError):
    """A field of the configuration is missing or makes no sense; the text names it."""

    code = "CFG01"
    remedy = "correct the field that is named, then start the node again, or send SIGHUP once more"


class ConfigFileError(ConfigError):
    """The platform's file cannot be had whole."""

    code = "CFG02"
    remedy = "let PROXY_CONFIG name a file that the node may read and that holds one whole JSON object"


class ConfigSizeError(ConfigError):
    """The platform's file says more than the node's memory can hold; the text names the longest table."""

    code = "CFG05"
    remedy = "raise limits.memory_mb, or let the file say less; after SIGHUP the node keeps what it has"


class ListError(BalancerError):
    """An entry or a line of the list makes no sense."""

    code = "LST01"
    remedy = "correct the entry where discovery has it from; until then the node keeps the list it has"


Address = tuple[str, int]
Form = TypeVar("Form")


def nothing(name: str) -> None:
    """For lists that come before anything is in force."""


@dataclass(slots=True)
class Member(api.Endpoint):
    """One backend as discovery lists it: the module's entry, and where it listens, by `HOST:PORT`.

    That stays text until somebody connects there: most of a long list are never sent to. One object, as the
    module keeps its entries: two would be 2 MB more of 70,000.
    """

    host_port: str = ""

    @property
    def address(self) -> Address:
        """Where it listens."""
        return address(self.host_port)


Held = Callable[[str], Member | None]
"""What is in force of a backend."""


@dataclass(slots=True, frozen=True)
class News:
    """One list, or one line of a watch; or, `again`, entries as they were told before."""

    revision: int
    complete: bool
    members: tuple[Member, ...]
    again: bool = False
    named: ShardedDict[Member] | None = field(default=None, compare=False, repr=False)  # by id, each once


# What the fields hold in JSON. An integer is taken for a float, and what is unknown is skipped.
Amount = Annotated[float, msgspec.Meta(ge=0, le=sys.float_info.max)]


class _Row(msgspec.Struct):
    """An entry of a list. What may be `Any` was never checked, only made text or a number."""

    id: Annotated[str, msgspec.Meta(min_length=1)]
    host_port: str
    phase: Literal["in_service", "terminating", "terminated"]
    locality: Any = ""
    flavor: Any = ""
    cell: Any = -1
    size: Amount = 1.0
    up_since_ms: Amount = 0.0


class _List(msgspec.Struct):
    """A list, or a line of a watch."""

    revision: int
    members: list[_Row]
    complete: bool = False


class _Limits(msgspec.Struct):
    """The limits that are held by the node itself."""

    sockets: Annotated[int, msgspec.Meta(ge=2 * SPARE)] = 1024
    memory_mb: Annotated[float, msgspec.Meta(gt=0, le=sys.float_info.max)] = 192.0


class _File(msgspec.Struct):
    """The platform's file, as far as the environment does not override it."""

    settings: dict[str, Any]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    known: _List = msgspec.field(default_factory=lambda: _List(0, [], True))
    seed: Any = "0"
    name: Any = ""
    console: Any = None


_decoder = msgspec.json.Decoder(_List)
_run_decoder = msgspec.json.Decoder(list[_Row])


@dataclass(slots=True, frozen=True)
class Config:
    """All that a node is told."""

    name: str
    listen: Address
    discovery: Address
    seed: int
    settings: api.Settings
    known: News
    sockets: int
    memory_mb: float
    console: Address | None = None
    keys: frozenset[str] = frozenset()  # what the file says, for the one that replaces it
    class_keys: frozenset[str] = frozenset()

    @property
    def alone(self) -> int:
        """Descriptors of a process that knows of no other. A second one needs the least before it is seen.

        Without a console none comes; under the smallest limits what it needs is not kept free.
        """
        kept_free = self.console is not None and self.sockets >= 8 * SPARE
        return self.sockets - (LEAST if kept_free else 0)

    @property
    def elders(self) -> int:
        """Descriptors of all processes beside one that came later."""
        return int(self.sockets * ELDER)

    def shares(self, processes: int) -> tuple[int, int]:
        """Connections of clients and to backends for each of so many that know nothing of each other."""
        return self.within(self.alone if processes == 1 else self.sockets // processes)

    def within(self, part: int) -> tuple[int, int]:
        """Connections of clients and to backends for a process that may hold so many descriptors."""
        return _split(part, int((part - SPARE) * CLIENT_PART))

    def elder(self, part: int) -> tuple[int, int]:
        """The same where one came later: the clients' connections are still here, a third of all at most."""
        return _split(part, min(self.sockets // 3, int((part - SPARE) * ELDER_CLIENTS)))


def _split(part: int, clients: int) -> tuple[int, int]:
    """So many clients where there is room for one connection to a backend too; what is left for those."""
    room = part - SPARE - LEAVING
    clients = max(1, min(clients, room - 2))
    return clients, max(1, room - clients - over(clients))


def over(clients: int) -> int:
    """How many connections more than that a process takes, to answer them and have them go."""
    return max(1, min(OVER, clients // 8))


# Few are in use, and a list is long: one object of each will do.
_port = lru_cache(1024)(int)
_cell = lru_cache(4096)(int)
_OCTET = r"(?:25[0-5]|2[0-4]\d|1\d\d|[1-9]?\d)"
USUAL = re.compile(rf"{_OCTET}(?:\.{_OCTET}){{3}}:(?:0|[1-9]\d{{0,3}}|[1-5]\d{{4}})", re.ASCII).fullmatch
"""Most addresses, in the one way to write them; of some others only `address` can tell."""


def address(value: object) -> Address:
    """`HOST:PORT` with a literal address, as there is no DNS; raises ValueError."""
    if not isinstance(value, str):
        raise ValueError(f"{value!r} is not text")
    host, _, port = value.rpartition(":")
    host = host.removeprefix("[").removesuffix("]")
    try:
        socket.inet_pton(socket.AF_INET, host)  # lists are long, and this is six times as quick
    except OSError:
        ipaddress.ip_address(host)
    if not port.isdecimal() or not 0 <= (number := _port(port)) < 65536:
        raise ValueError(f"{value!r} has no port")
    return host, number


def _fitted(raw: object, form: type[Form], under: str = "") -> Form:
    """What was read, as `form`; raises ValueError with the dotted field, its value, what would do.

    `under` is the dotted field that `raw` itself is the value of.
    """
    try:
        return msgspec.convert(raw, form)
    except msgspec.ValidationError as err:
        text, _, path = str(err).partition(" - at `$")
    path = path.strip(".`")
    value: Any = raw
    for part in re.findall(r"[^.\[\]]+", path):
        value = value[int(part)] if isinstance(value, list) else value[part]
    path = f"{under}.{path}".strip(".")
    if missing := re.fullmatch("Object missing required field `(.*)`", text):
        raise ValueError(f"{path}.{missing[1]} is missing".removeprefix("."))
    raise ValueError(f"{path or 'the whole'} makes no sense: {value!r:.120}, {text[:1].lower()}{text[1:]}")


def _is(row: _Row, was: Member) -> bool:
    """Whether this row says what is held."""
    return (row.host_port == was.host_port and PHASES[row.phase] is was.phase and row.locality == was.zone
            and row.cell == was.cell and row.size == was.weight and row.up_since_ms == was.started_at
            and row.flavor == was.kind)  # fmt: skip


def _members(rows: Sequence[_Row], first: int = 0, held: Held = nothing) -> list[Member]:
    """The backends of some rows, of which the first has that index; raises ListError.

    What a row says that is held already is the same object: a list that is told again takes no memory.
    """
    members, started_at = list[Member](), 0.0
    for index, row in enumerate(rows, first):
        was = held(row.id)
        if was is not None and _is(row, was):
            members.append(was)
            continue
        try:
            cell = _cell(row.cell)
        except (TypeError, ValueError, OverflowError):
            raise ListError(f"members[{index}].cell makes no sense: {row.cell!r:.120}") from None
        where = row.host_port
        if not USUAL(where):
            try:
                where = "{}:{}".format(*address(where))
            except ValueError:
                raise ListError(f"members[{index}].host_port makes no sense: {where!r:.120}") from None
        # Few texts and sizes, and many backends: one object of each will do.
        zone, kind = intern(str(row.locality)), intern(str(row.flavor))
        weight = 1.0 if row.size == 1.0 else row.size
        if row.up_since_ms != started_at:
            started_at = row.up_since_ms
        members.append(Member(row.id, zone, cell, weight, PHASES[row.phase], started_at, kind, where))
    return members


def _news(told: _List, held: Held = nothing) -> News:
    return News(told.revision, told.complete, tuple(_members(told.members, 0, held)))


def _told(told: _List, held: Held = nothing) -> News:
    out = _news(told, held)
    if out.complete:
        _distinct(out.members, 0, ShardedDict())
    return out


def _distinct(members: Sequence[Member], first: int, seen: ShardedDict[Member]) -> None:
    """Guards against a whole list that names a backend twice: nobody knows which word counts.

    Takes them into `seen`; the first of `members` has that index. Raises ListError.
    """
    part_of = seen.shard
    for index, member in enumerate(members, first):
        name = member.backend
        part = part_of(name)
        if name in part:
            raise ListError(f"members[{index}].id makes no sense: {name!r:.120} is there twice")
        part[name] = member


def news(raw: object) -> News:
    """A list in discovery's form; raises ListError."""
    return _told(_fitted_list(raw))


def _fitted_list(raw: object) -> _List:
    try:
        return _fitted(raw, _List)
    except ValueError as err:
        raise ListError(str(err)) from None


def news_of(data: bytes | bytearray, held: Held = nothing) -> News:
    """A list in discovery's form, as it came; raises ListError, or what `json` raises where it is no JSON."""
    return _told(_list_of(data), held)


def _list_of(data: bytes | bytearray) -> _List:
    try:
        return _decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        # Once more in two steps: to name what does not fit, and as `json` takes a little more (NaN in a field
        # that nobody reads, a key that is there twice).
        return _fitted_list(json.loads(data))


def _rows_of(data: bytes | bytearray, first: int) -> list[_Row]:
    """An array of rows, of which the first has that index; as `_list_of`."""
    try:
        return _run_decoder.decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        try:
            raw = json.loads(data)
        except (ValueError, RecursionError) as err:
            raise ValueError(f"from members[{first}] on: {err}") from None
        try:
            return [_fitted(row, _Row, f"members[{index}]") for index, row in enumerate(raw, first)]
        except ValueError as err:
            raise ListError(str(err)) from None


def news_in_turns(data: mmap, held: Held = nothing) -> Generator[None, None, News]:
    """As `news_of`, in turns of some milliseconds; closes `data`.

    Nothing comes of it before all is sound. What is laid out as no list is (`members` written with escapes,
    or there twice) takes one long turn.
    """
    try:
        for leap in (True, False):
            members, failed = list[Member](), None
            try:
                told = yield from _decoded(data, (yield from layout(data, leap)), held, members)
                for at in range(0, len(data), BACK):  # before what it holds is taken
                    data.madvise(MADV_DONTNEED, at, min(BACK, len(data) - at))
                    yield
                return replace(told, members=tuple(members))
            except OddList:
                pass
            except (ListError, ValueError, RecursionError) as err:
                failed = err.with_traceback(None)  # that holds on to all that was decoded
            while members:  # to let go of all at once would be a long turn
                del members[-LET_GO:]
                yield
        if failed is not None:
            raise failed
        return news_of(data[:], held)
    finally:
        data.close()


def _decoded(data: mmap, parts: Layout, held: Held, members: list[Member]) -> Generator[None, None, News]:
    """All but the members, and those into `members`. Raises as `news_of`."""
    told = _list_of(data[: parts.rows] + data[parts.last :])
    seen, begin = ShardedDict[Member](), parts.rows
    for end in parts.runs:
        run = b"[" + data[begin:end] + b"]"
        begin = end + 1
        rows = _members(_rows_of(run, len(members)), len(members), held)
        if told.complete:
            _distinct(rows, len(members), seen)
        members += rows
        yield
    return News(told.revision, told.complete, (), named=seen if told.complete else None)


def address_at(raw: Mapping[str, Any], env: Mapping[str, str], name: str) -> Address:
    """A field that is an address; the environment takes precedence over the file. Raises ConfigError."""
    value = env.get(PREFIX + name.upper()) or raw.get(name)
    if value is None:
        raise ConfigError(f"{name} is missing")
    try:
        return address(value)
    except ValueError:
        raise ConfigError(f"{name} makes no sense: {value!r:.120}") from None


def read(env: Mapping[str, str]) -> dict[str, Any]:
    """The platform's file as it stands; raises ConfigError."""
    path = env.get(PREFIX + "CONFIG")
    if not path:
        raise ConfigFileError(f"{PREFIX}CONFIG is missing")
    try:
        raw = json.loads(Path(path).read_text(encoding="utf-8"))
    except OSError as err:
        raise ConfigFileError(f"{PREFIX}CONFIG cannot be read: {err}") from None
    except (ValueError, RecursionError) as err:
        raise ConfigFileError(f"{PREFIX}CONFIG is not JSON: {err}") from None
    if not isinstance(raw, dict):
        raise ConfigFileError(f"{PREFIX}CONFIG is not an object")
    return raw


def _keys(table: Mapping[str, Any], where: str = "") -> Iterator[str]:
    """The dotted names of all that a table says; lists count as one value."""
    for name, value in table.items():
        yield where + name
        if isinstance(value, dict):
            yield from _keys(value, f"{where}{name}.")


def _class_keys(raw: Mapping[str, Any]) -> frozenset[str]:
    """What all classes of a checked file say; the group goes with the effect."""
    rows: list[dict[str, Any]] = raw["settings"]["request-classes"]
    return frozenset.intersection(*(frozenset(row) for row in rows)) - {"group", "memory-span"}


def reload(env: Mapping[str, str], held: Config) -> Config:
    """The configuration that has replaced `held`; raises ConfigError where it is not whole and sound.

    Guards against a file that lost a key: it would fall back to a default that nobody asked for.
    """
    raw = read(env)
    if lost := sorted(held.keys - set(_keys(raw))):
        raise ConfigError(f"{lost[0]} is missing")
    # The environment is as old as the process: the file alone says where discovery is now.
    out = _checked(raw, {k: v for k, v in env.items() if k != PREFIX + "DISCOVERY"})
    for index, row in enumerate(raw["settings"]["request-classes"]):
        if lost := sorted(held.class_keys - row.keys()):
            raise ConfigError(f"settings: request-classes[{index}].{lost[0]} is missing")
    return out


def load(env: Mapping[str, str]) -> Config:
    """The configuration that the environment points to; raises ConfigError."""
    return _checked(read(env), env)


def _fits(told: _File) -> None:
    """Guards against tables that would fill the memory, with a second process beside on an upgrade.

    Raises ConfigSizeError.
    """
    tables = told.settings.get("projects"), told.settings.get("request-classes"), told.known.members
    counts = [len(table) if isinstance(table, list) else 0 for table in tables]
    sizes = {
        field: count * each / 2**20 for (field, each), count in zip(ENTRY_BYTES.items(), counts, strict=True)
    }
    room = max(LEAST_TABLES_MB, told.limits.memory_mb / UPGRADE_PROCESS_COUNT - BASE_MEMORY_MB)
    if (total := sum(sizes.values())) > room:
        longest = max(sizes, key=lambda field: sizes[field])
        count = counts[list(ENTRY_BYTES).index(longest)]
        raise ConfigSizeError(
            f"{longest}: {count} entries take {sizes[longest]:.0f} of {total:.0f} MB of tables, and "
            f"limits.memory_mb {told.limits.memory_mb:g} leaves {room:.0f}"
        )


def _checked(raw: Mapping[str, Any], env: Mapping[str, str]) -> Config:
    try:
        told = _fitted(raw, _File)
    except ValueError as err:
        raise ConfigError(str(err)) from None
    _fits(told)
    try:
        settings = parse_settings(told.settings)
    except api.SettingsError as err:
        raise ConfigError(f"settings: {err}") from None
    try:
        seed = int(told.seed, 16) if isinstance(told.seed, str) else int(told.seed)
    except (TypeError, ValueError, OverflowError):
        raise ConfigError(f"seed makes no sense: {told.seed!r:.120}") from None
    try:
        known = _news(told.known)
    except ListError as err:
        raise ConfigError(f"known.{err}") from None
    asked_for = env.get(PREFIX + "CONSOLE") or told.console
    return Config(
        name=str(env.get(PREFIX + "NAME") or told.name),
        listen=address_at(raw, env, "listen"),
        discovery=address_at(raw, env, "discovery"),
        seed=seed,
        settings=settings,
        known=known,
        sockets=told.limits.sockets,
        memory_mb=told.limits.memory_mb,
        console=None if asked_for is None else address_at(raw, env, "console"),
        keys=frozenset(_keys(raw)),
        class_keys=_class_keys(raw),
    )
