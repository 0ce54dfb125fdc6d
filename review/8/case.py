"""Case 8: bad clients that send much in one trailer field drive a node over its memory limit."""

import asyncio
import contextlib
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
import rig

MB = 2**20
MEMORY_MB = 192  # The most that any day gives.
BAD_CLIENTS = 16
BYTES_EACH = 60 * MB
GOOD_CLIENTS = 20
PLAY_S = 12.0


async def bad_client(case: rig.Case, node: rig.Node, number: int) -> None:
    """Send something that is no proper request: behind a short body, a trailer field that does not end."""
    began = time.monotonic()
    sent = 0
    answer = b""
    with contextlib.suppress(ConnectionError, OSError):
        reader, writer = await asyncio.open_connection(rig.HOST, node.port)
        try:
            writer.write(
                b"POST /place-order HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: %016x\r\n"
                b"Transfer-Encoding: chunked\r\n\r\n8\r\none soup\r\n0\r\nX-Note: " % (0xBAD0000 + number)
            )
            piece = b"a" * (256 * 1024)
            while sent < BYTES_EACH and not answer:
                writer.write(piece)
                sent += len(piece)
                await writer.drain()
            async with asyncio.timeout(6):
                answer = await reader.read(100)
        except TimeoutError:
            pass
        finally:
            writer.close()
    took = time.monotonic() - began
    case.record(f"bad client {number}: {sent / MB:.1f} MB sent, got {answer[:40]!r} after {took:.1f} s")


async def play(case: rig.Case) -> bool:
    discovery = rig.Discovery(case.record)
    case.discoveries.append(discovery)
    await discovery.start()
    for number in range(4):
        backend = rig.Backend(case.record, f"s-{number}", case.known_ids)
        case.backends.append(backend)
        await backend.start()
    discovery.put(*[backend.member() for backend in case.backends])
    node = case.node(
        "n0",
        rig.settings(),
        discovery.port,
        list(discovery.members.values()),
        discovery.revision,
        limits={"memory_mb": MEMORY_MB, "sockets": 1024},
    )
    await node.start()
    await node.wait_ready()
    stopping = asyncio.Event()
    answers: dict[int | None, int] = {}

    async def call(number: int) -> None:
        client = rig.Client(case.record, node.port, case.known_ids, f"c{number}")
        while not stopping.is_set():
            _, message = await client.send("place-order", 1000, b"one soup")
            status = message.status if message is not None else None
            answers[status] = answers.get(status, 0) + 1
            await asyncio.sleep(0.1)
        client.close()

    callers = [asyncio.create_task(call(number)) for number in range(GOOD_CLIENTS)]
    await asyncio.sleep(3)
    before = node.peak_memory_mb()
    case.record.say(f"before the bad clients: {before:.1f} MB resident at most, answers {answers}")
    bad = [bad_client(case, node, number) for number in range(BAD_CLIENTS)] if rig.trouble() else []
    began = time.monotonic()
    await asyncio.gather(*bad)
    await asyncio.sleep(max(0.0, began + PLAY_S - time.monotonic()))
    stopping.set()
    await asyncio.gather(*callers)
    if node.process.returncode is not None:
        raise rig.CannotRunError("the node has ended")
    if not answers.get(200):
        raise rig.CannotRunError("no order was served")
    peak = node.peak_memory_mb()
    case.record.say(
        f"{peak:.1f} MB resident at most, of {MEMORY_MB} allowed; answers to the good clients {answers}"
    )
    return peak > MEMORY_MB


if __name__ == "__main__":
    rig.main(play, Path(__file__).resolve().parent)
