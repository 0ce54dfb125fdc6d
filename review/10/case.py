"""Case 10: an answer of 60 KiB without a length, written over 3 s, ends 2 s after its request's time."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
import rig

ORDERS = 24
TIMEOUT_MS = 1000
GRACE_S = 0.5 + 0.05  # Half a second after its time a request is lost; time limits grow by 50 ms.
ANSWER_BYTES = 60 * 1024
PIECES = 30
WRITING_S = 3.0


class SlowWriter(rig.Backend):
    """A backend that begins its answers at once; one in three takes 3 s to write the rest."""

    count = 0

    async def answer(self, writer: asyncio.StreamWriter, status: int, body: bytes, extra: str = "") -> None:
        if status != 200:
            await super().answer(writer, status, body, extra)
            return
        SlowWriter.count += 1
        is_slow = rig.trouble() and SlowWriter.count % 3 == 0
        size = ANSWER_BYTES // PIECES
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(PIECES):
            piece = (body if number == 0 else b"").ljust(size, b".")
            writer.write(b"%x\r\n%b\r\n" % (size, piece))
            await writer.drain()
            if is_slow:
                await asyncio.sleep(WRITING_S / PIECES)
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def order(case: rig.Case, node: rig.Node, number: int) -> str:
    """Send one order; tell how it ended: `whole`, `failed`, `broken off` or `late`."""
    client = rig.Client(case.record, node.port, case.known_ids, f"c{number}")
    name = client.new_id()
    reader, writer = await asyncio.open_connection(rig.HOST, node.port)
    head = (
        f"POST /place-order HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {name}\r\n"
        f"Request-Timeout: {TIMEOUT_MS}m\r\nContent-Length: 8\r\n\r\none soup"
    )
    began = time.monotonic()
    writer.write(head.encode())
    case.record(f"client: sends {name}")

    answered = asyncio.create_task(read_whole(reader))
    done, _ = await asyncio.wait({answered}, timeout=TIMEOUT_MS / 1000 + GRACE_S)
    if not done:
        result = "late"
        with contextlib.suppress(Exception):
            async with asyncio.timeout(6):
                status, size, is_whole = await answered
                took = time.monotonic() - began
                end = "whole" if is_whole else "broken off"
                case.record(
                    f"client: {name} got {status}, {size} bytes, {end}, {took:.2f} s after it was sent"
                )
        case.record(f"LATE: {name} had no final answer {TIMEOUT_MS / 1000 + GRACE_S:.2f} s after it was sent")
    else:
        status, size, is_whole = answered.result()
        took = time.monotonic() - began
        result = "broken off" if not is_whole else "whole" if status == 200 else "failed"
        case.record(f"client: {name} got {status}, {size} bytes, {result}, {took:.2f} s after it was sent")
    writer.close()
    return result


async def read_whole(reader: asyncio.StreamReader) -> tuple[int, int, bool]:
    """Return the status of an answer, the length of its body, and whether it was whole."""
    size = 0
    try:
        first = await reader.readline()
        status = int(first.split()[1])
        length = None
        while line := (await reader.readline()).strip().lower():
            if line.startswith(b"content-length:"):
                length = int(line.split(b":")[1])
        if length is not None:
            size = len(await reader.readexactly(length))
            return status, size, True
        while count := int(await reader.readline(), 16):
            size += len(await reader.readexactly(count))
            await reader.readline()
        await reader.readline()
    except (ConnectionError, asyncio.IncompleteReadError, ValueError, IndexError):
        return 0, size, False
    return status, size, True


async def play(case: rig.Case) -> bool:
    discovery = rig.Discovery(case.record)
    case.discoveries.append(discovery)
    await discovery.start()
    for number in range(4):
        backend = SlowWriter(case.record, f"s-{number}", case.known_ids)
        case.backends.append(backend)
        await backend.start()
    discovery.put(*[backend.member() for backend in case.backends])
    node = case.node(
        "n0", rig.settings(), discovery.port, list(discovery.members.values()), discovery.revision
    )
    await node.start()
    await node.wait_ready()
    results = []
    for first in range(0, ORDERS, 6):
        results += await asyncio.gather(*[order(case, node, number) for number in range(first, first + 6)])
    counts = {result: results.count(result) for result in ("whole", "failed", "broken off", "late")}
    case.record.say(f"{ORDERS} orders: " + ", ".join(f"{count} {result}" for result, count in counts.items()))
    if not counts["whole"]:
        raise rig.CannotRunError("no order was served")
    return counts["late"] > 0


if __name__ == "__main__":
    rig.main(play, Path(__file__).resolve().parent)
