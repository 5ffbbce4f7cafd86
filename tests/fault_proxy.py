"""A TCP proxy from --port to --target that injects faults.

Each line on --control-port is a JSON object of faults to set; the reply is
"ok".  "up" is the direction from the client to the target.

delay_ms       delay of each piece of data
lag_ms         so much later each byte that goes down arrives
cut            close all connections and refuse new ones
freeze         keep connections open but forward nothing
freeze_old     the same for the connections that are open now
one_way        "up" or "down": discard the data in that direction
drop_after_up  close a connection once that many bytes went up (one time)
hold_text      delay data that goes up and contains this text by hold_ms
rate           bytes per second and direction of each connection; 0: no limit
"""

import asyncio
import json

import standin


def write_open(writer, data):
    if not writer.is_closing():
        writer.write(data)


class Proxy:
    def __init__(self, host, port):
        self.target = (host, port)
        self.faults = {"delay_ms": 0, "lag_ms": 0, "cut": False,
                       "freeze": False, "one_way": "", "drop_after_up": 0,
                       "hold_text": "", "hold_ms": 0, "rate": 0}
        self.held = 0
        self.open = {}
        self.silent = set()
        self.count = 0

    def get_chunk_bytes(self):
        """Size of a read: 50 ms of data at the set rate."""
        return self.faults["rate"] // 20 or 65536

    def is_frozen(self, conn_id):
        return self.faults["freeze"] or conn_id in self.silent

    async def hold(self, direction, data):
        text = self.faults["hold_text"].encode()
        if direction == "up" and text and text in data:
            self.held += 1
            await asyncio.sleep(self.faults["hold_ms"] / 1000)

    async def pump(self, conn_id, direction, reader, writer):
        sent = 0
        try:
            while data := await reader.read(self.get_chunk_bytes()):
                if self.faults["rate"]:
                    await asyncio.sleep(len(data) / self.faults["rate"])
                if self.faults["delay_ms"]:
                    await asyncio.sleep(self.faults["delay_ms"] / 1000)
                await self.hold(direction, data)
                while self.is_frozen(conn_id):
                    await asyncio.sleep(0.02)
                if self.faults["one_way"] == direction:
                    continue
                if direction == "down" and self.faults["lag_ms"]:
                    asyncio.get_running_loop().call_later(
                        self.faults["lag_ms"] / 1000, write_open, writer, data)
                    continue
                writer.write(data)
                await writer.drain()
                sent += len(data)
                if (direction == "up" and
                        0 < self.faults["drop_after_up"] <= sent):
                    self.faults["drop_after_up"] = 0
                    break
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            # Closing one side only would hide that an answer was cut off.
            for w in self.open.get(conn_id, ()):
                w.close()

    async def accept(self, reader, writer):
        if self.faults["cut"]:
            writer.close()
            return
        try:
            up_reader, up_writer = await asyncio.open_connection(*self.target)
        except OSError:
            writer.close()
            return
        if self.faults["cut"]:  # set while connecting to the target
            writer.close()
            up_writer.close()
            return
        self.count += 1
        conn_id = self.count
        self.open[conn_id] = (writer, up_writer)
        await asyncio.gather(self.pump(conn_id, "up", reader, up_writer),
                             self.pump(conn_id, "down", up_reader, writer))
        self.open.pop(conn_id, None)
        self.silent.discard(conn_id)

    def set_faults(self, faults):
        if faults.pop("freeze_old", False):
            self.silent |= set(self.open)
        self.faults.update(faults)
        if self.faults["cut"]:
            for pair in self.open.values():
                for w in pair:
                    w.close()

    async def control(self, reader, writer):
        while line := await reader.readline():
            self.set_faults(json.loads(line))
            writer.write(b"ok\n")
            await writer.drain()
        writer.close()


async def main(args):
    host, port = args.target.split(":")
    proxy = Proxy(host, int(port))
    servers = [await asyncio.start_server(proxy.accept, "127.0.0.1",
                                          args.port),
               await asyncio.start_server(proxy.control, "127.0.0.1",
                                          args.control_port)]
    await asyncio.gather(*(s.serve_forever() for s in servers))


if __name__ == "__main__":
    parser = standin.make_parser(__doc__)
    parser.add_argument("--target", required=True)
    parser.add_argument("--control-port", type=int, required=True)
    try:
        asyncio.run(main(parser.parse_args()))
    except KeyboardInterrupt:
        pass
