"""Bad clients stop in the middle of a request and stay. Does the umpire keep within its memory?"""
import asyncio
import collections
import os
import random
import sys
import tempfile
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "lib"))
from standins import *

HERE = os.path.dirname(os.path.abspath(__file__))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
SEED = int(os.environ.get("SEED", "1"))
MEMORY_MB = 32            # of 32 to 192
SOCKETS = 1024            # of 256 to 1,024
BAD_CLIENTS = 400         # hundreds
CALM = 4                  # seconds before the bad clients come
SECONDS = 14
CLIENTS = 10
PIECE = float(os.environ.get("PIECE", "0.005"))
PAUSE = 0.2
WORK = 0.012

random.seed(SEED)
record = Record(os.path.join(HERE, "record.txt"))


class Box:
    def __init__(self, name):
        self.name = name
        self.served = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        buffer = bytearray()
        try:
            while True:
                data = await reader.read(65536)
                if not data:
                    return
                buffer += data
                message = take_message(buffer)
                if not message:
                    continue
                await asyncio.sleep(WORK)
                self.served += 1
                request_id = message[1].get("request-id", "?")
                record.line(self.name, f"ran and answered {request_id}")
                writer.write(response(200, f"answer made for {request_id}".encode(),
                                      "Server-Load: cpu_share=0.2\r\n"))
        except ConnectionError:
            pass
        finally:
            writer.close()


async def bad_client(number, address, until, results):
    """Sends the most part of a POST whose body is within 64 KiB, stops, and stays until it is answered."""
    host, port = address.rsplit(":", 1)
    while time.monotonic() < until:
        try:
            reader, writer = await asyncio.open_connection(host, int(port))
        except OSError:
            await asyncio.sleep(0.5)
            continue
        began = time.monotonic()
        head = (f"POST /book-visit HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: bad{number:03d}t{began:.3f}\r\n"
                f"Request-Timeout: 700m\r\nIdempotency-Key: key{number:03d}\r\nTransfer-Encoding: chunked\r\n\r\n")
        try:
            writer.write(head.encode())
            for _ in range(65):
                writer.write(b"3e8\r\n" + b"x" * 1000 + b"\r\n")
                await asyncio.sleep(PIECE)
            results["half requests"] += 1
            data = await asyncio.wait_for(reader.read(512), 10)
            took = time.monotonic() - began
            record.line(f"bad {number}", f"after half a request of 65,000 bytes: {data[:12]!r} after {took:.2f} s")
        except (ConnectionError, asyncio.TimeoutError):
            record.line(f"bad {number}", "after half a request: connection lost, or nothing")
        writer.close()


def memory_kb(pid):
    """Memory of the process's own: anonymous pages, without those of the program's files."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("RssAnon"):
                return int(line.split()[1])
    return 0


async def platform_limit(umpire, until, results):
    """The platform's limit: over memory_mb the umpire is killed."""
    while time.monotonic() < until:
        if umpire.process.poll() is not None:
            record.note(f"BROKEN: the umpire ended by itself, status {umpire.process.returncode}")
            results["crashed"] += 1
            return
        used = memory_kb(umpire.process.pid)
        if used > results["most memory, kB"]:
            results["most memory, kB"] = used
            record.line("platform", f"the umpire holds {used} kB of {MEMORY_MB * 1024} kB")
        if used > MEMORY_MB * 1024:
            record.note(f"BROKEN: the umpire holds {used} kB, its limit is {MEMORY_MB * 1024} kB: killed")
            results["crashed"] += 1
            umpire.end()
            return
        await asyncio.sleep(0.02)


async def main():
    results = collections.Counter()
    boxes = [Box(f"box-{i}") for i in range(3)]
    for box in boxes:
        await box.start()
    platform = Platform(record, [member(box.name, f"127.0.0.1:{box.port}") for box in boxes])
    await platform.start()
    classes = [request_class("free-slots", 750.0, 300.0),
               request_class("book-visit", 750.0, 300.0, "guarded", 1500.0)]
    with tempfile.TemporaryDirectory() as folder:
        umpire = Umpire(record, folder,
                        umpire_config("n0", platform, classes, sockets=SOCKETS, memory_mb=MEMORY_MB))
        umpire.start()
        try:
            if not await umpire.ready():
                record.note("the umpire does not come up: " + open(umpire.log).read()[-500:])
                return 2
            start = time.monotonic()
            until = start + SECONDS
            address = umpire.config["listen"]
            tasks = [asyncio.ensure_future(UsualClient(record, i, address, results, PAUSE).run(until))
                     for i in range(CLIENTS)]
            limit = asyncio.ensure_future(platform_limit(umpire, until, results))
            await asyncio.sleep(CALM)
            if TROUBLE:
                record.note(f"{BAD_CLIENTS} bad clients come; the umpire holds {memory_kb(umpire.process.pid)} kB")
                tasks += [asyncio.ensure_future(bad_client(i, address, until, results)) for i in range(BAD_CLIENTS)]
            await asyncio.wait([limit], timeout=SECONDS)
            await asyncio.sleep(0.5)
        finally:
            umpire.end()
    record.note(f"trouble {int(TROUBLE)}, seed {SEED}: {dict(results)}")
    if results["200"] < 100 or (TROUBLE and results["half requests"] == 0 and not results["crashed"]):
        record.note("the case could not run")
        return 2
    return 1 if results["crashed"] else 0


finish(main())
