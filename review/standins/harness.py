"""Stand-ins and process control for the scripts of review/: the platform's metadata store, a proxy
before it, back ends, clients, and the project's own programs as separate processes.

Only the standard library is used. All sockets are on loopback addresses of one run (127.A.B.n), so
that the ports of all machines are alike. Every process that is started is ended by `Run.close`.
"""

import base64
import json
import os
import random
import re
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from http.client import HTTPConnection, HTTPException
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from pathlib import Path
from urllib.parse import parse_qs, urlsplit

REPOSITORY = Path(__file__).resolve().parents[2]
# A case that is not over by then could not run.
TIME_LIMIT_S = 115

# Bounds of the small deployments (fleetbench wire SITE).
BOUNDS = {
    "seedLagS": 3, "addrReuseS": 2, "contactMs": 3000, "ackMs": 4000, "catchUpS": 4.7,
    "drainMs": 2000, "graceS": 8, "lossSlackMs": 200, "configApplyMs": 2000,
    "rollbackSlackMs": 250, "outerMs": 5000, "recoveryS": 12, "passMs": 120, "retryAfterS": 0,
    "finishS": 18, "statusS": 120, "cancelMs": 3000, "settleMs": 1000, "quotaOverage": 0.1,
    "ttl_max_s": 5,
}
HOST = "ficu95.example"
SETTINGS_PATH = "/etc/yokefall/settings.toml"


class CannotRun(Exception):
    """The case could not be set up; exit code 2."""


class Record:
    """Writes record.txt: what was sent, answered, run and done to processes."""

    def __init__(self, path):
        self.file = open(path, "w", encoding="utf-8")
        self.started = time.monotonic()
        self.lock = threading.Lock()

    def now(self):
        return time.monotonic() - self.started

    def __call__(self, kind, text):
        with self.lock:
            self.file.write(f"{self.now():8.3f} {kind:<9} {text}\n")
            self.file.flush()


# --- the platform's metadata store ---------------------------------------------------------------


class QuietServer(ThreadingHTTPServer):
    daemon_threads = True
    allow_reuse_address = True
    request_queue_size = 512

    def handle_error(self, request, client_address):
        pass


class JsonHandler(BaseHTTPRequestHandler):
    protocol_version = "HTTP/1.1"
    disable_nagle_algorithm = True
    wbufsize = 64 * 1024

    def log_message(self, *_):
        pass

    def body(self):
        if "chunked" in self.headers.get("Transfer-Encoding", ""):
            data = b""
            while size := int(self.rfile.readline().split(b";")[0], 16):
                data += self.rfile.read(size)
                self.rfile.readline()
            self.rfile.readline()
            return data
        return self.rfile.read(int(self.headers.get("Content-Length") or 0))

    def answer(self, status, value, headers=()):
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self.send_response(status)
        for name, text in headers:
            self.send_header(name, text)
        if not isinstance(value, bytes):
            self.send_header("Content-Type", "application/json")
        self.send_header("Content-Length", str(len(data)))
        self.end_headers()
        self.wfile.write(data)
        self.wfile.flush()


class MetadataStore:
    """Objects by kind and name with one counter of revisions, lists and watches.

    `lose_answer`, if set, is asked about each write that was carried out; where it returns true the
    answer is lost, and its connection says nothing further.
    """

    def __init__(self, ip, port, record):
        self.record = record
        self.lock = threading.Condition()
        self.revision = 0
        self.objects = {}
        self.history = []
        self.lose_answer = None
        store = self

        class Handler(JsonHandler):
            def do_GET(self):
                store.read(self)

            def do_POST(self):
                store.write(self, "POST")

            def do_PUT(self):
                store.write(self, "PUT")

        self.server = QuietServer((ip, port), Handler)
        self.address = f"{ip}:{port}"
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def close(self):
        self.server.shutdown()

    def change(self, kind, name, **parts):
        """Creates or changes an object; the return from here is the acknowledgement."""
        with self.lock:
            self.revision += 1
            made = {"metadata": {"name": name, "made": self.revision, "finalizers": []},
                    "spec": None, "status": None}
            held = self.objects.get((kind, name), made)
            value = {**held, **parts, "metadata": {**held["metadata"], "revision": self.revision}}
            self.objects[(kind, name)] = value
            self.history.append((self.revision, kind, {"object": value, "gone": False}))
            self.lock.notify_all()
            return value

    def remove(self, kind, name):
        with self.lock:
            value = self.objects.pop((kind, name), None)
            if value is not None:
                self.revision += 1
                self.history.append((self.revision, kind, {"object": value, "gone": True}))
                self.lock.notify_all()

    def beat(self, kind, name):
        """A heartbeat changes only `sequence`, which does not count as a change of the entry."""
        with self.lock:
            value = self.objects.get((kind, name))
            if value is not None:
                value["spec"] = {**value["spec"], "sequence": value["spec"]["sequence"] + 1}

    def get(self, kind, name):
        with self.lock:
            return self.objects.get((kind, name))

    def read(self, handler):
        parts = urlsplit(handler.path)
        query = {key: values[0] for key, values in parse_qs(parts.query).items()}
        names = parts.path.strip("/").split("/")[1:]
        if len(names) == 2:
            value = self.get(*names)
            return handler.answer(200 if value else 404, value or {})
        kind = names[0]
        if "watch" in query:
            return self.watch(handler, kind, int(query["watch"]), int(query.get("waitMs", 0)))
        with self.lock:
            after = query.get("after", "")
            found = sorted(name for of, name in self.objects if of == kind and name > after)
            items = [self.objects[(kind, name)] for name in found[:500]]
            value = {"items": items, "more": len(found) > 500, "at": self.revision}
        return handler.answer(200, value)

    def watch(self, handler, kind, after, wait_ms):
        end = time.monotonic() + min(wait_ms, 30_000) / 1_000
        with self.lock:
            while True:
                events = [event for at, of, event in self.history if of == kind and at > after]
                left = end - time.monotonic()
                if events or left <= 0:
                    break
                self.lock.wait(left)
            value = {"events": events, "at": self.revision}
        return handler.answer(200, value)

    def write(self, handler, method):
        names = urlsplit(handler.path).path.strip("/").split("/")[1:]
        body = json.loads(handler.body() or b"{}")
        kind = names[0]
        with self.lock:
            if method == "POST":
                name = body["metadata"]["name"]
                if (kind, name) in self.objects:
                    status, value = 409, self.objects[(kind, name)]
                else:
                    status, value = 200, self.change(kind, name, spec=body.get("spec"))
            elif names[-1] == "status" and len(names) == 3:
                name = names[1]
                if (kind, name) not in self.objects:
                    status, value = 404, {}
                else:
                    status, value = 200, self.change(kind, name, status=body.get("status"))
            else:
                status, value, name = 404, {}, "?"
        self.record("store", f"{method} {kind}/{name} -> {status} {json.dumps(body)[:160]}")
        if self.lose_answer and self.lose_answer(method, kind, name, status):
            self.record("store", f"the answer to {method} {kind}/{name} is lost")
            while True:
                time.sleep(3_600)
        handler.answer(status, value)


class SilentProxy:
    """A proxy before the store. `silence` makes all open connections silent for good, without a
    reset: their bytes are read and lost. New connections work."""

    def __init__(self, ip, port, target):
        self.target = target
        self.silenced = 0
        self.generation = 0
        self.listener = socket.create_server((ip, port), backlog=512)
        self.address = f"{ip}:{port}"
        self.open = {}
        self.lock = threading.Lock()
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                client, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self.serve, args=(client,), daemon=True).start()

    def serve(self, client):
        host, port = self.target.rsplit(":", 1)
        upstream = socket.create_connection((host, int(port)))
        for each in (client, upstream):
            each.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        generation = self.generation
        with self.lock:
            self.open[client] = generation
        back = threading.Thread(target=self.pump, args=(upstream, client, generation), daemon=True)
        back.start()
        self.pump(client, upstream, generation)
        with self.lock:
            self.open.pop(client, None)

    def pump(self, source, sink, generation):
        try:
            while data := source.recv(65_536):
                if generation == self.generation:
                    sink.sendall(data)
        except OSError:
            pass
        if generation == self.generation:
            for each in (source, sink):
                try:
                    each.shutdown(socket.SHUT_RDWR)
                except OSError:
                    pass

    def silence(self):
        with self.lock:
            count = len(self.open)
        self.generation += 1
        return count

    def close(self):
        self.listener.close()


# --- back ends -----------------------------------------------------------------------------------


class BackEnd:
    """A server of a service. Items and streams are answered with `events` events, other requests
    with the name of the service. Records each run in `runs`: (time, id, path, after event)."""

    def __init__(self, run, name, service, ip, port, slots=12, events=8, event_s=0.05):
        self.run, self.name, self.service, self.slots = run, name, service, slots
        self.address = f"{ip}:{port}"
        self.events, self.event_s = events, event_s
        self.running = 0
        self.lock = threading.Lock()
        self.runs = []
        self.alive = True
        back_end = self

        class Handler(JsonHandler):
            def do_GET(self):
                back_end.get(self)

            def do_POST(self):
                back_end.post(self)

        self.server = QuietServer((ip, port), Handler)
        threading.Thread(target=self.server.serve_forever, daemon=True).start()

    def spec(self, zone, state="ready"):
        return {"backend": self.service, "address": self.address, "zone": zone, "version": "v1",
                "slots": self.slots, "state": state, "coldRemainingMs": 0, "sequence": 1}

    def register(self, zone):
        self.run.store.change("servers", self.name, spec=self.spec(zone))

        def beat():
            while self.alive:
                time.sleep(1.2)
                self.run.store.beat("servers", self.name)

        threading.Thread(target=beat, daemon=True).start()

    def load(self):
        return f"{self.running},0,{self.slots}"

    def get(self, handler):
        path = urlsplit(handler.path).path
        if path == "/report":
            return handler.answer(200, {
                "stage": "colocated", "models": [{"name": "m", "version": 1, "adapters": []}],
                "utilization": False, "sequence": 1, "queueDepth": 0,
                "activeRequests": self.running, "kvUsed": 0, "kvTotal": 147261, "handles": 0})
        handler.answer(200, b"", [("Instance-Id", self.name), ("Server-Load", self.load())])

    def post(self, handler):
        body = handler.body()
        attempt = handler.headers.get("Attempt-Id", "")
        head = [("Attempt-Id", attempt), ("Server-Load", self.load())]
        expected = handler.headers.get("Expect-Instance")
        if expected not in (None, self.name):
            return handler.answer(421, b"", [*head, ("Instance-Id", self.name)])
        if not attempt:
            return handler.answer(400, b"", [("Not-Executed", "1")])
        with self.lock:
            if self.running >= self.slots:
                return handler.answer(503, b"", [*head, ("Not-Executed", "1")])
            self.running += 1
        try:
            after = int(handler.headers.get("Last-Event-Id") or 0)
            self.runs.append((self.run.record.now(), attempt, handler.path, after))
            seal = ("Response-Seal", f"seal.{self.name}.{attempt}")
            self.run.record("run", f"{self.name} ({self.service}) {handler.path} id {attempt}"
                                   f"{f' after event {after}' if after else ''}")
            if "/item" in handler.path:
                self.stream(handler, [*head, seal], attempt, after)
            else:
                handler.answer(200, f"{self.service} {len(body)}\n".encode(), [*head, seal])
        finally:
            with self.lock:
                self.running -= 1

    def stream(self, handler, head, attempt, after):
        handler.send_response(200)
        for name, text in [*head, ("Content-Type", "text/event-stream"),
                           ("Transfer-Encoding", "chunked")]:
            handler.send_header(name, text)
        handler.end_headers()
        handler.wfile.flush()
        for event in range(after + 1, self.events + 1):
            time.sleep(self.event_s)
            data = f"id: {event}\ndata: {attempt}-{event}\n\n".encode()
            handler.wfile.write(b"%x\r\n%s\r\n" % (len(data), data))
            handler.wfile.flush()
        handler.wfile.write(b"0\r\n\r\n")
        handler.wfile.flush()

    def output(self, attempt):
        return "\n".join(f"{attempt}-{event}" for event in range(1, self.events + 1))

    def close(self):
        self.alive = False
        self.server.shutdown()


# --- the project's own programs ------------------------------------------------------------------


def fill(template, values):
    """Fills a settings template as DEPLOY.md tells: {{a.b}}, {{a|json}}, {{#a}}, {{^a}}."""

    def find(name, scopes):
        if name == ".":
            return scopes[-1]["."]
        for scope in reversed(scopes):
            value = scope
            for part in name.split("."):
                if isinstance(value, list) and part.isdigit() and int(part) < len(value):
                    value = value[int(part)]
                elif isinstance(value, dict) and part in value:
                    value = value[part]
                else:
                    value = None
                    break
            if value is not None:
                return value
        return None

    def text(value, as_json):
        if as_json or isinstance(value, (dict, bool)):
            return json.dumps(value)
        if isinstance(value, list):
            return ",".join(str(each) for each in value)
        return "" if value is None else str(value)

    def expand(source, scopes):
        pattern = re.compile(r"\{\{([#^])([^}]+)\}\}(.*?)\{\{/\2\}\}|\{\{([^}#^/]+)\}\}", re.S)

        def replace(match):
            kind, section, inner, name = match.groups()
            if kind is None:
                plain, _, form = name.partition("|")
                return text(find(plain, scopes), form == "json")
            value = find(section, scopes)
            if kind == "^":
                return expand(inner, scopes) if not value else ""
            if isinstance(value, dict):
                entries = [{".": each, "@": key} for key, each in value.items()]
            elif isinstance(value, list):
                entries = [{".": each, "@": index} for index, each in enumerate(value)]
            else:
                entries = [{".": value}] if value not in (None, False) else []
            return "".join(expand(inner, [*scopes, entry]) for entry in entries)

        return pattern.sub(replace, source)

    return expand(template, [values])


class Machine:
    """A machine with one process of a role of the deploy file."""

    def __init__(self, run, role, name, zone, ip):
        self.run, self.role, self.name, self.zone, self.ip = run, role, name, zone, ip
        self.process = None
        self.starts = 0
        self.data = run.folder / f"data-{name}"
        self.log_path = run.folder / f"{name}.log"
        self.settings_path = run.folder / f"{name}.toml"
        self.ports = run.ports

    def values(self, bootstrap):
        ports, run = self.ports, self.run
        edge = self.role == "gateway"
        listen = {"front": f"{self.ip}:{ports['front']}", "readiness": f"{self.ip}:{ports['ready']}",
                  "control": f"{self.ip}:{ports['control']}",
                  "directory": f"{self.ip}:{ports['directory']}"} if edge else {}
        return {
            "nodeName": self.name, "zone": self.zone, "region": "sk-west", "ip": self.ip,
            "internalPortRange": [ports["internal"], ports["internal"] + 1],
            "seeds": run.seeds(), "bootstrap": bootstrap, "dataDir": str(self.data),
            "zones": {zone: "sk-west" for zone in run.zones}, "listen": listen,
            "limits": {"memoryMb": 220 if edge else 250, "diskMb": 0 if edge else 470},
            "faultTolerance": {"machines": 1, "zones": 0, "regions": 0}, "bounds": BOUNDS,
            "platform": {"address": run.platform_address},
        }

    def start(self, bootstrap=False):
        role = self.run.deploy["roles"][self.role]
        template = (REPOSITORY / role["template"]).read_text()
        self.settings_path.write_text(fill(template, self.values(bootstrap)))
        self.data.mkdir(exist_ok=True)
        command = [str(self.settings_path) if word == SETTINGS_PATH else word
                   for word in role["run"].split()]
        log = open(self.log_path, "ab")
        env = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        env["YOKEFALL_NODE_FILE"] = str(self.settings_path)
        self.process = subprocess.Popen(command, cwd=REPOSITORY, stdout=log, stderr=log, env=env)
        self.starts += 1
        self.run.record("process", f"start {self.name} pid {self.process.pid} bootstrap {bootstrap}")

    def signal(self, number):
        self.run.record("process", f"{signal.Signals(number).name} {self.name}")
        self.process.send_signal(number)

    def kill(self):
        self.signal(signal.SIGKILL)
        self.process.wait()

    def wipe(self):
        shutil.rmtree(self.data)
        self.run.record("process", f"disk of {self.name} is lost")

    def lines(self):
        found = []
        if self.log_path.exists():
            for line in self.log_path.read_text(errors="replace").splitlines():
                start = line.find("{")
                try:
                    found.append(json.loads(line[start:]))
                except ValueError:
                    continue
        return found

    def end(self):
        if self.process and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()


class Run:
    """One run of a case: a folder, addresses, stand-ins and processes."""

    def __init__(self, case_folder, zones=("trnava-hall", "senec-hall", "nitra-hall")):
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.record = Record(os.environ.get("RECORD") or Path(case_folder) / "record.txt")
        self.record("run", f"trouble {self.trouble}")
        self.folder = Path(tempfile.mkdtemp(prefix="yokefall-review-"))
        self.zones = zones
        self.deploy = tomllib.loads((REPOSITORY / "deploy/system.toml").read_text())
        self.machines, self.back_ends, self.closers = {}, [], []
        self.next_host = 10
        self.net = self.free_net()
        self.ports = {"front": 18144, "ready": 18140, "control": 18146, "directory": 18143,
                      "internal": 17660}
        self.store = MetadataStore(f"{self.net}.2", 18142, self.record)
        self.platform_address = self.store.address
        program = self.deploy["roles"]["gateway"]["run"].split()[0]
        if not (REPOSITORY / program).exists():
            raise CannotRun(f"{program} is not built")

    def free_net(self):
        for _ in range(50):
            net = f"127.{random.randint(20, 250)}.{random.randint(1, 250)}"
            try:
                for port in (18142, 18144):
                    socket.create_server((f"{net}.2", port)).close()
                return net
            except OSError:
                continue
        raise CannotRun("no free loopback addresses")

    def ip(self):
        self.next_host += 1
        return f"{self.net}.{self.next_host}"

    def seeds(self):
        gateways = [each for each in self.machines.values() if each.role == "gateway"]
        return [f"{each.ip}:{self.ports['control']}" for each in gateways[:3]]

    def machine(self, role, name, zone):
        self.machines[name] = Machine(self, role, name, zone, self.ip())
        return self.machines[name]

    def gateways(self):
        return [each for each in self.machines.values() if each.role == "gateway"]

    def back_end(self, service, zone, **options):
        back_end = BackEnd(self, f"i-{random.getrandbits(32):08x}", service, self.ip(), 18080,
                           **options)
        self.back_ends.append(back_end)
        back_end.register(zone)
        return back_end

    def configure(self, version, routes, services):
        spec = {"version": version, "routes": routes, "services": services,
                "limits": {"maxHeaderBytes": 16384, "maxBodyBytes": 4194304,
                           "headerTimeoutMs": 5000, "idleTimeoutMs": 10000}}
        self.store.change("config", "main", spec=spec)
        self.record("operator", f"configuration {version} acknowledged")

    def call(self, machine, method, path, headers=None, body=None, timeout=3.0):
        """One request on a new connection; (status, body), or (None, cause)."""
        connection = HTTPConnection(machine.ip, self.ports["front"], timeout=timeout)
        try:
            connection.request(method, path, body, {"Host": HOST, **(headers or {})})
            answer = connection.getresponse()
            return answer.status, answer.read()
        except (OSError, HTTPException) as cause:
            return None, str(cause).encode()
        finally:
            connection.close()

    def ready(self, machine):
        connection = HTTPConnection(machine.ip, self.ports["ready"], timeout=1.0)
        try:
            connection.request("GET", "/ready")
            return connection.getresponse().status == 200
        except (OSError, HTTPException):
            return False
        finally:
            connection.close()

    def wait(self, what, seconds, check):
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = check()
            if found:
                return found
            time.sleep(0.05)
        raise CannotRun(f"{what}: not within {seconds} s")

    def close(self):
        for machine in self.machines.values():
            machine.end()
        for back_end in self.back_ends:
            back_end.close()
        for close in self.closers:
            close()
        self.store.close()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


# --- batch jobs ----------------------------------------------------------------------------------


def new_id():
    return f"{random.getrandbits(64):016x}"


class Job:
    """A batch job of one client."""

    def __init__(self, run, prefix, count):
        self.run, self.prefix, self.id = run, prefix, new_id()
        self.items = [new_id() for _ in range(count)]
        headers = {"Model": "m", "Token-Count": "100,40", "Prefix-Hash": "9c2e41:60,5d07b8:40"}
        self.body = json.dumps({"items": [
            {"id": item, "path": f"{prefix}item/{item}", "headers": headers,
             "body": base64.b64encode(item.encode()).decode(), "tokens": 140}
            for item in self.items]})

    def submit(self, machine):
        headers = {"Attempt-Id": self.id, "Content-Type": "application/json", "Deadline-Ms": "4000"}
        status, text = self.run.call(machine, "POST", f"{self.prefix}{self.id[:6]}", headers,
                                     self.body, timeout=5.0)
        self.run.record("answer", f"submit {self.id} at {machine.name}: {status}")
        return status

    def read(self, machine, after=0, quiet=False):
        status, text = self.run.call(machine, "GET", f"/lots/{self.id}?after={after}",
                                     {"Wait-Ms": "1000"}, timeout=4.5)
        if not quiet or status != 200:
            self.run.record("answer", f"read {self.id} at {machine.name}: {status}")
        return status, json.loads(text) if status == 200 else text

    def done(self, machine):
        status, page = self.read(machine, quiet=True)
        return status == 200 and len(page["results"]) == len(self.items) and page

    def submit_until_accepted(self, seconds):
        def accepted():
            return any(self.submit(machine) == 202 for machine in self.run.gateways())
        self.run.wait(f"job {self.id} is accepted", seconds, accepted)

    def wait_done(self, seconds):
        return self.run.wait(f"job {self.id} is done", seconds,
                             lambda: self.done(self.run.gateways()[0]))


def leader(stores):
    """The job store that became leader last, by the log lines."""
    latest = None
    for store in stores:
        if store.process is None or store.process.poll() is not None:
            continue
        for line in store.lines():
            if line.get("event") == "role-changed" and line.get("role_now") == "Leader":
                if latest is None or line["term"] > latest[0]:
                    latest = (line["term"], store)
    return latest and latest[1]


def voters(stores):
    """Names of the voters in their order, by the newest decision about members in the logs."""
    newest = None
    for store in stores:
        for line in store.lines():
            if line.get("event") == "group-decision" and line.get("decision") == "change members":
                part = line["id"].split("learners:")[0]
                names = re.findall(r'name: "([^"]+)"', part)
                if newest is None or line["time_ms"] > newest[0]:
                    newest = (line["time_ms"], names)
    return newest[1] if newest else []


def small_deployment(run):
    """Two gateways, three job stores and three back ends, started for the first time, with a route
    for batch jobs; its path prefix is returned as well."""
    prefix = "/pule252/"
    batch = {"name": "r-batch", "hostname": HOST, "pathPrefix": prefix, "routeType": "batch",
             "timeoutMs": 25000, "targetLatencyMs": 400, "priority": 2, "backend": "huvo11a",
             "maxAttempts": 3, "completionTargetMs": 20000, "maxQueueS": 60, "resumable": True}
    run.configure(1, [batch], [{"name": "huvo11a", "healthPath": "/health", "maxConnections": 200}])
    for zone in run.zones:
        run.back_end("huvo11a", zone)
    gateways = [run.machine("gateway", f"edge-{zone}-1", zone) for zone in run.zones[:2]]
    stores = [run.machine("job-store", f"storage-{zone}-1", zone) for zone in run.zones]
    for machine in [*gateways, *stores]:
        machine.start(bootstrap=True)
    run.wait("gateways are ready", 20, lambda: all(run.ready(each) for each in gateways))
    run.wait("three voters", 20, lambda: len(voters(stores)) == 3)
    return gateways, stores, prefix


def retire(run, machine):
    """Empties a machine as the operator does, and removes it once that is completed."""
    run.store.change("retirements", machine.name, spec={"durationS": 8.7})
    run.record("operator", f"retirement of {machine.name} acknowledged")

    def completed():
        status = run.store.get("retirements", machine.name)["status"]
        return (status or {}).get("state") == "completed"

    run.wait("the retirement is completed", 20, completed)
    run.record("operator", f"{machine.name} is retired and removed")
    machine.kill()


def unread_at_end(run, jobs):
    """Reads jobs from the start at the end of the day, again after every failure."""
    unread = list(jobs)
    end = time.monotonic() + 12
    while unread and time.monotonic() < end:
        for gateway in run.gateways():
            unread = [job for job in unread if not job.done(gateway)]
        time.sleep(0.5)
    if unread:
        return f"LOST: at the end of the day {[job.id for job in unread]} can't be read"
    return None


def run_case(case_folder, play):
    """Plays a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    run, code = None, 2

    def out_of_time(*_):
        raise CannotRun(f"it is not over after {TIME_LIMIT_S} s")

    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    signal.signal(signal.SIGALRM, out_of_time)
    signal.alarm(TIME_LIMIT_S)
    try:
        run = Run(case_folder)
        broken = play(run)
        code = 1 if broken else 0
        run.record("verdict", broken or "the rule held")
        print(broken or "the rule held")
    except CannotRun as cause:
        print(f"the case could not run: {cause}")
        if run:
            run.record("verdict", f"could not run: {cause}")
    finally:
        signal.alarm(0)
        if run:
            run.close()
    sys.exit(code)
