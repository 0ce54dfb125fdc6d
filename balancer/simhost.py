"""Runs many instances of the balancing policy for a simulator, over standard input and output."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from typing import TextIO

from balancer import wire
from balancer.errors import BalancerError
from balancer.interface import Action, CallError, Event, Settings
from balancer.policy import Balancer
from balancer.settings import parse_settings_text

START_PARTS = 3  # A START line consists of the word, the seed and the settings.
NO_INSTANCE = -1
MAX_EXCEPTION_CHARS = 200
CONTEXT_PREFIX = "CONTEXT "


class Reply:
    """The lines of a reply, in sections that each begin with the number of an instance."""

    def __init__(self) -> None:
        """Create a reply without lines."""
        self.lines: list[str] = []
        self._section_instance = NO_INSTANCE

    def add_actions(self, instance: int, actions: list[Action]) -> None:
        """Add the actions of an instance."""
        if actions and instance != self._section_instance:
            self._start_section(instance)
        self.lines.extend(map(wire.format_action, actions))

    def add_exception(self, instance: int, err: Exception) -> None:
        """Add an exception that the policy of an instance raised."""
        self._start_section(instance)
        text = " ".join(str(err).split())[:MAX_EXCEPTION_CHARS]
        self.lines.append(f"EXCEPTION {type(err).__name__}: {text}")

    def _start_section(self, instance: int) -> None:
        self.lines.append(f"SPEAKING {instance}")
        self._section_instance = instance


class Host:
    """Dispatches each event of a batch to its instance and collects the reply; instances share no state."""

    def __init__(self) -> None:
        """Create a host without instances."""
        self.instances: dict[int, tuple[Balancer, Settings]] = {}

    def handle_batch(self, now: float, lines: Iterator[str]) -> list[str]:
        """Handle the lines that follow a SYNC line and return the reply; raises WireError or CallError."""
        reply = Reply()
        instance = NO_INSTANCE
        for line in lines:
            if line == "GO":
                return [*reply.lines, "FINISHED"]
            word = line[: line.index(" ")] if " " in line else line
            match word:
                case "CONTEXT":
                    instance = self._parse_instance(line)
                case "START":
                    self._start(instance, line)
                case "STOP":
                    self.instances.pop(instance, None)
                case _:
                    self._handle(now, instance, line, lines, reply)
        raise wire.WireError("input ended inside a batch: expected GO after the last event")

    def _handle(self, now: float, instance: int, line: str, lines: Iterator[str], reply: Reply) -> None:
        """Pass an event to its instance; the entries of a list update are read from `lines`."""
        if instance not in self.instances:
            raise wire.WireError(
                f"event for instance {instance}, which was never started by START: "
                f"{line[: wire.MAX_QUOTED_CHARS]!r}"
            )
        balancer, settings = self.instances[instance]
        event = self._parse_event(line, settings, lines)
        try:
            actions = balancer.handle(now, event)
        except CallError:
            raise
        except Exception as err:  # The protocol wants a policy fault reported, not a dead process.
            reply.add_exception(instance, err)
        else:
            reply.add_actions(instance, actions)

    @staticmethod
    def _parse_instance(line: str) -> int:
        number = line[len(CONTEXT_PREFIX) :]
        if not number.isdecimal():
            raise wire.WireError(
                f"malformed line: expected 'CONTEXT NUMBER', got {line[: wire.MAX_QUOTED_CHARS]!r}"
            )
        return int(number)

    def _start(self, instance: int, line: str) -> None:
        parts = line.split(" ", START_PARTS - 1)
        if instance < 0 or len(parts) != START_PARTS or not parts[1].isdecimal():
            raise wire.WireError(
                "malformed line: expected 'START SEED SETTINGS' after a CONTEXT line, "
                f"got {line[: wire.MAX_QUOTED_CHARS]!r}"
            )
        _, seed, text = parts
        settings = parse_settings_text(text)
        self.instances[instance] = (Balancer(settings, int(seed)), settings)

    @staticmethod
    def _parse_event(line: str, settings: Settings, lines: Iterator[str]) -> Event:
        if line.partition(" ")[0] != wire.LIST_UPDATE_WORD:
            return wire.parse_event(line, settings.load_report_fields)
        update, count = wire.parse_list_update(line)
        update.entries.extend(wire.parse_entry(next(lines, "")) for _ in range(count))
        return update


def serve(source: TextIO, sink: TextIO) -> None:
    """Handle batches until the input ends after a complete one; raises WireError or CallError."""
    host = Host()
    lines = (line.rstrip("\n") for line in source)
    for line in lines:
        word, _, clock = line.partition(" ")
        if word != "SYNC":
            raise wire.WireError(
                f"expected SYNC TIME_MS at the start of a batch, got {line[: wire.MAX_QUOTED_CHARS]!r}"
            )
        try:
            now = wire.parse_time(clock)
        except ValueError:
            raise wire.WireError(
                f"malformed line: expected 'SYNC TIME_MS', got {line[: wire.MAX_QUOTED_CHARS]!r}"
            ) from None
        sink.write("\n".join(host.handle_batch(now, lines)))
        sink.write("\n")
        sink.flush()


def main() -> int:
    """Serve standard input; invalid input ends the program with one line on standard error."""
    try:
        serve(sys.stdin, sys.stdout)
        return 0
    except BalancerError as err:
        reason = err
    except UnicodeDecodeError as err:
        reason = wire.WireError(f"a line of the input is not valid UTF-8: {err}")
    print(f"balancer: {reason.one_line_report}", file=sys.stderr)
    return 2


if __name__ == "__main__":
    sys.exit(main())
