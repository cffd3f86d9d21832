"""Stand-ins for the users' platform, in the form of the pages: clients, boxes, discovery, the release API,
and a network path with a latency. Standard library only, one event loop, loopback addresses only."""
import asyncio
import json
import os
import random
import signal
import socket
import subprocess
import time

ROOT = os.path.abspath(os.path.join(os.path.dirname(__file__), "..", ".."))


def free_port(host="127.0.0.1"):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


class Record:
    """record.txt: what was sent, answered and run, with the time in seconds since the start."""

    def __init__(self, path):
        self.file = open(path, "w", buffering=1)
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def line(self, who, what):
        self.file.write(f"{self.now():10.4f} {who:12} {what}\n")

    def note(self, text):
        self.line("test", text)
        print(text, flush=True)


# ---- HTTP, as little as the stand-ins need

def head_of(data):
    end = data.find(b"\r\n\r\n")
    if end < 0:
        return None
    lines = data[:end].decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return lines[0], headers, end + 4


def take_message(buffer):
    """Takes one complete message with a Content-Length (or none) from the front of a bytearray."""
    head = head_of(bytes(buffer[:65536]))
    if not head:
        return None
    first, headers, at = head
    length = int(headers.get("content-length", "0"))
    if len(buffer) < at + length:
        return None
    body = bytes(buffer[at:at + length])
    del buffer[:at + length]
    return first, headers, body


def response(status, body, extra=""):
    return (f"HTTP/1.1 {status} x\r\nContent-Length: {len(body)}\r\n{extra}\r\n").encode() + body


# ---- The platform: discovery and the release API

class Platform:
    def __init__(self, record, members, revision=1, release=None):
        self.record = record
        self.members = members
        self.revision = revision
        self.release = release or {"Revision": 1, "Wave": 0, "State": "COMPLETE", "MaxShare": 1.0}
        self.release_since = time.monotonic() - 60
        self.watches = []

    def news(self):
        age = (time.monotonic() - self.release_since) * 1000
        return dict(self.release, AgeMs=round(age, 1))

    def list(self):
        return {"revision": self.revision, "complete": True, "members": self.members}

    async def start(self):
        self.discovery = await asyncio.start_server(self.serve_discovery, "127.0.0.1", 0)
        self.api = await asyncio.start_server(self.serve_api, "127.0.0.1", 0)
        self.discovery_address = "127.0.0.1:%d" % self.discovery.sockets[0].getsockname()[1]
        self.api_address = "127.0.0.1:%d" % self.api.sockets[0].getsockname()[1]

    @staticmethod
    def chunk(text):
        data = text.encode()
        return b"%x\r\n%s\r\n" % (len(data), data)

    async def stream(self, writer, first, sign, every):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
        writer.write(self.chunk(first))
        try:
            while True:
                await writer.drain()
                await asyncio.sleep(every)
                writer.write(self.chunk(sign))
        except (ConnectionError, asyncio.CancelledError):
            pass

    async def serve_discovery(self, reader, writer):
        try:
            buffer = bytearray()
            while True:
                data = await reader.read(65536)
                if not data:
                    return
                buffer += data
                message = take_message(buffer)
                if not message:
                    continue
                self.record.line("discovery", "asked: " + message[0])
                if "watch=1" in message[0]:
                    await self.stream(writer, json.dumps(self.list()) + "\n", "\n", 2.0)
                    return
                writer.write(response(200, json.dumps(self.list()).encode()))
        except ConnectionError:
            pass
        finally:
            writer.close()

    async def serve_api(self, reader, writer):
        try:
            buffer = bytearray()
            while True:
                data = await reader.read(65536)
                if not data:
                    return
                buffer += data
                message = take_message(buffer)
                if not message:
                    continue
                if message[0].startswith("GET /v1/watch"):
                    first = json.dumps({"type": "ROLLOUT", "object": self.news()}) + "\n"
                    await self.stream(writer, first, "{}\n", 1.0)
                    return
                self.record.line("release api", "vote: " + message[2].decode())
                writer.write(response(200, json.dumps(self.news()).encode()))
        except ConnectionError:
            pass
        finally:
            writer.close()


class UsualClient:
    """Sends one request at a time on a connection that it keeps, and counts how each ended."""

    def __init__(self, record, number, address, results, pause, target="/free-slots/today", wait=1.3):
        self.record = record
        self.number = number
        self.host, port = address.rsplit(":", 1)
        self.port = int(port)
        self.results = results
        self.pause = pause
        self.target = target
        self.wait = wait
        self.check = lambda request_id, body: None

    async def run(self, until):
        reader = writer = None
        sequence = 0
        name = f"client {self.number}"
        while time.monotonic() < until:
            await asyncio.sleep(random.expovariate(1 / self.pause))
            if writer is None:
                try:
                    reader, writer = await asyncio.open_connection(self.host, self.port)
                except OSError:
                    self.results["not connected"] += 1
                    continue
                buffer = bytearray()
            sequence += 1
            request_id = f"c{self.number:02d}n{sequence:05d}"
            writer.write((f"GET {self.target} HTTP/1.1\r\nHost: origin.svc\r\nRequest-Id: {request_id}\r\n"
                          f"Request-Timeout: 750m\r\n\r\n").encode())
            self.record.line(name, f"sent {request_id}")
            message = None
            try:
                limit = time.monotonic() + self.wait
                while message is None:
                    data = await asyncio.wait_for(reader.read(65536), max(0.01, limit - time.monotonic()))
                    if not data:
                        break
                    buffer += data
                    message = take_message(buffer)
            except (asyncio.TimeoutError, ConnectionError):
                pass
            if message is None:
                self.results["no answer"] += 1
                self.record.line(name, f"no answer to {request_id}")
                writer.close()
                writer = None
                continue
            status = message[0].split()[1]
            body = message[2].decode("latin-1")
            self.record.line(name, f"got {status} for {request_id}: {body.strip()}")
            self.results[status] += 1
            if status == "200":
                self.check(request_id, body)
            if message[1].get("connection", "").lower() == "close":
                writer.close()
                writer = None
        if writer:
            writer.close()


# ---- The umpire: `run` of the deploy file

def deploy_run():
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            if line.startswith("run = "):
                return json.loads(line[len("run = "):])
    raise RuntimeError("no run in the deploy file")


class Umpire:
    def __init__(self, record, folder, config):
        self.record = record
        self.config = config
        self.path = os.path.join(folder, config["name"] + ".json")
        self.log = os.path.join(folder, config["name"] + ".log")
        self.process = None

    def start(self):
        with open(self.path, "w") as file:
            json.dump(self.config, file)
        env = dict(os.environ, ROUTER_CONFIG=self.path, ROUTER_NAME=self.config["name"],
                   ROUTER_LISTEN=self.config["listen"], ROUTER_DISCOVERY=self.config["discovery"])
        self.process = subprocess.Popen(["/bin/sh", "-c", deploy_run()], cwd=ROOT, env=env,
                                        stdin=subprocess.DEVNULL, stdout=subprocess.DEVNULL,
                                        stderr=open(self.log, "w"))
        self.record.line("test", f"umpire {self.config['name']} started, pid {self.process.pid}")

    def send(self, number):
        self.record.line("test", f"{signal.Signals(number).name} to umpire {self.config['name']}")
        self.process.send_signal(number)

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def ready(self, seconds=20):
        host, port = self.config["listen"].rsplit(":", 1)
        limit = time.monotonic() + seconds
        while time.monotonic() < limit:
            if self.process.poll() is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET /up HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
                data = await asyncio.wait_for(reader.read(256), 1)
                writer.close()
                if b" 200 " in data[:20]:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.1)
        return False


def request_class(name, deadline_ms, goal_ms, effect="free", window_ms=0.0):
    return {"name": name, "goal_time_ms": goal_ms, "deadline_ms": deadline_ms, "dedup_window_ms": window_ms,
            "effect": effect, "group": "all", "worth": 2.0, "late_share": 0.2, "streaming": False}


def settings(classes, **bounds):
    """The settings of almaty-booking, as the example in the wire page gives them."""
    return {
        "balancers": 1, "me": 0, "zone": 0, "tick_ms": 5.0, "weights": "silent", "registry_mode": "automatic",
        "over_share_worth": 0.1, "tenants": [], "failure_domains": ["almaty-room"], "kinds": ["std-2core"],
        "worth_by": "request", "clients": {"marks_retry": False}, "layer": 0, "layers": ["booking-nodes"],
        "family": "rollout",
        "bounds": dict({"cancelling": True, "connect_timeout_ms": 250.0, "keepalive_ms": 30000.0,
                        "max_attempts": 5, "max_retry_after_ms": 2000.0, "open_cap": 20000, "peers": False,
                        "probes": False, "retry_after": True, "second_copies": True,
                        "streams_per_conn": 1}, **bounds),
        "classes": classes,
        "load_report": {"names": ["cpu_share"], "source": "piggyback"},
        "safety": {"answer_slack_ms": 20.0, "ask_within_ms": 10000.0, "cold_from": 0.3, "cold_ms": 4900.0,
                   "fall_ms": 1500.0, "fall_multiple": 4.0, "stop_sending_within_ms": 1000.0},
        "family_info": {"bake_ms": 3000.0, "call_timeout_ms": 1200.0, "calls_per_s": 20.0,
                        "caps": [0.068, 0.17, 0.425, 0.935, 1.0], "counts": "each_class", "damage_price": 3.0,
                        "flag_share": 0.3, "free": 1.0, "gate_mode": "automatic", "hold_votes": 1,
                        "metrics_period_ms": 0.0, "moves_after_ms": 4000.0, "one_way": False, "push_ms": 2000.0,
                        "replace_mode": "parallel", "safe_only_stages": 0,
                        "stage_share": [0.04, 0.1, 0.25, 0.55, 1.0], "to_advance": 0,
                        "vote_stands_ms": 10000.0, "votes_to_revert": 1, "warm_keys": False,
                        "window_ms": 4000.0}}


def umpire_config(name, platform, classes, sockets=512, memory_mb=128, **bounds):
    return {"name": name, "listen": "127.0.0.1:%d" % free_port(), "discovery": platform.discovery_address,
            "seed": "%016x" % random.getrandbits(64),
            "limits": {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets},
            "release_api": {"address": platform.api_address, "news": platform.news()},
            "known": platform.list(), "settings": settings(classes, **bounds)}


def member(name, address, build=1, phase="ready", up_since_ms=0):
    return {"id": name, "host_port": address, "locality": "almaty-room", "flavor": "std-2core", "cell": 0,
            "phase": phase, "size": 1.0, "up_since_ms": up_since_ms, "build": build}


# ---- A network path with a latency each way

class Path:
    """Carries bytes between an umpire and a box, each way later by `latency` seconds, in order."""

    def __init__(self, latency, box_port):
        self.latency = latency
        self.box_port = box_port

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            box_reader, box_writer = await asyncio.open_connection("127.0.0.1", self.box_port)
        except OSError:
            writer.close()
            return
        for w in (writer, box_writer):
            w.get_extra_info("socket").setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        await asyncio.gather(self.carry(reader, box_writer), self.carry(box_reader, writer))

    async def carry(self, reader, writer):
        loop = asyncio.get_running_loop()
        while True:
            try:
                data = await reader.read(65536)
            except ConnectionError:
                loop.call_later(self.latency, writer.transport.abort)
                return
            if not data:
                loop.call_later(self.latency, writer.close)
                return
            loop.call_later(self.latency, writer.write, data)


def finish(coroutine):
    """Runs a case and ends this process with its status, without waiting for open connections."""
    loop = asyncio.new_event_loop()
    asyncio.set_event_loop(loop)
    status = loop.run_until_complete(coroutine)
    os._exit(status)
