"""Case 6: a POST that offers an upgrade of the protocol reaches its backend without its body."""

import asyncio
import sys
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parents[1] / "rig2"))
import rig

ORDERS = 40
EVERY = 4  # One in four orders comes from a client that offers h2c, as its library does by itself.


class OrderBox(rig.Backend):
    """A sound backend that keeps the bodies of what it ran."""

    def __init__(self, *arguments: object) -> None:
        super().__init__(*arguments)
        self.bodies: dict[str, bytes] = {}

    async def handle(self, message: rig.Message, writer: asyncio.StreamWriter) -> bool:
        name = message.headers.get("request-id", "")
        self.bodies[name] = message.body
        self.record(f"backend {self.name}: {name} has a body of {len(message.body)} bytes")
        return await super().handle(message, writer)


async def order(
    case: rig.Case, node: rig.Node, number: int, offers_upgrade: bool
) -> tuple[str, bytes, int | None]:
    """Send one order on a connection of its own; return its id, its body and the status of the answer."""
    client = rig.Client(case.record, node.port, case.known_ids, f"c{number}")
    name = client.new_id()
    body = f'{{"order":{number},"meal":"soup","pickup":"12:{number:02}"}}'.encode()
    offer = "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\nHTTP2-Settings: AAEAAEAAAAIAAAAB\r\n"
    head = (
        f"POST /place-order HTTP/1.1\r\nHost: api.internal\r\nRequest-Id: {name}\r\n"
        f"Request-Timeout: 1000m\r\n{offer if offers_upgrade else ''}Content-Length: {len(body)}\r\n\r\n"
    )
    case.record(f"client: sends {name} with a body of {len(body)} bytes, offers h2c: {offers_upgrade}")
    reader, writer = await asyncio.open_connection(rig.HOST, node.port)
    try:
        writer.write(head.encode() + body)
        async with asyncio.timeout(1.5):
            message = await rig.read_message(reader, answers=True)
    except (TimeoutError, OSError, asyncio.IncompleteReadError):
        message = None
    finally:
        writer.close()
    status = message.status if message is not None else None
    case.record(f"client: {name} got {status}")
    return name, body, status


async def play(case: rig.Case) -> bool:
    discovery = rig.Discovery(case.record)
    case.discoveries.append(discovery)
    await discovery.start()
    for number in range(3):
        backend = OrderBox(case.record, f"s-{number}", case.known_ids)
        case.backends.append(backend)
        await backend.start()
    discovery.put(*[backend.member() for backend in case.backends])
    node = case.node(
        "n0", rig.settings(), discovery.port, list(discovery.members.values()), discovery.revision
    )
    await node.start()
    await node.wait_ready()
    served = wrong = wrong_and_served = 0
    for number in range(ORDERS):
        name, body, status = await order(case, node, number, rig.trouble() and number % EVERY == 0)
        served += status == 200
        for backend in case.backends:
            if name in backend.bodies and backend.bodies[name] != body:
                wrong += 1
                wrong_and_served += status == 200
                case.record(f"WRONG: {name} ran at {backend.name} with the body {backend.bodies[name]!r}")
    if not served:
        raise rig.CannotRunError("no order was served")
    case.record.say(
        f"{ORDERS} orders, {served} served; {wrong} ran with another body than their client sent, "
        f"of these {wrong_and_served} were answered 200"
    )
    return wrong > 0


if __name__ == "__main__":
    rig.main(play, Path(__file__).resolve().parent)
