"""Stand-ins and helpers of the review's scripts; standard library only.

A `Deployment` has a store, upstreams, and nodes that run as separate processes
with the command of the deploy file. Everything listens on loopback addresses,
and the nodes' settings are those of a small site.
"""

import base64
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import threading
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parent.parent
HEARTBEAT_S = 1.5
HISTORY_S = 20.0
# Time after which a script gives up, in seconds.
LIMIT_S = 112.0
KEY = '6wsjnbanfqasnmgkcuyj'
OTHER_KEY = '8pjbvk9m68k7b2ex5wa5'
HOST = 'hulo84.example'


class Record:
    """Writes what was sent, answered and run, with seconds since the start."""

    def __init__(self, path):
        self._file = open(path, 'w', encoding='utf-8')
        self._start = time.monotonic()
        self._lock = threading.Lock()

    def write(self, text):
        """Appends a line."""
        with self._lock:
            elapsed = time.monotonic() - self._start
            self._file.write(f'{elapsed:8.3f} {text}\n')
            self._file.flush()


def read_head(stream):
    """Reads a request or status line and fields; None at the end."""
    line = stream.readline()
    if not line:
        return None
    fields = []
    while True:
        field = stream.readline()
        if field in (b'\r\n', b'\n'):
            break
        if not field:
            return None
        name, _, value = field.decode('latin-1').partition(':')
        fields.append((name.strip().lower(), value.strip()))
    return line.decode('latin-1').strip(), fields


def get_field(fields, name):
    """Returns the first value of a field, or None."""
    for other, value in fields:
        if other == name:
            return value
    return None


def read_body(stream, fields):
    """Reads a body by its length or chunks; None if it is cut short."""
    if (get_field(fields, 'transfer-encoding') or '').lower() == 'chunked':
        body = b''
        while True:
            line = stream.readline()
            if not line:
                return None
            size = int(line.split(b';')[0], 16)
            data = stream.read(size + 2)
            if len(data) < size + 2:
                return None
            if size == 0:
                return body
            body += data[:-2]
    length = int(get_field(fields, 'content-length') or 0)
    body = stream.read(length)
    return body if len(body) == length else None


class Listener:
    """Accepts connections and serves each in a thread of its own."""

    def __init__(self, address):
        self._socket = socket.socket()
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind(address)
        self._socket.listen(256)
        self._connections = set()
        self.address = self._socket.getsockname()
        threading.Thread(target=self._accept, daemon=True).start()

    def _accept(self):
        while True:
            try:
                connection, _ = self._socket.accept()
            except OSError:
                return
            connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            self._connections.add(connection)
            threading.Thread(
                target=self._run, args=(connection,), daemon=True
            ).start()

    def _run(self, connection):
        try:
            self.serve(connection, connection.makefile('rb'))
        except (OSError, ValueError):
            pass
        finally:
            self._connections.discard(connection)
            connection.close()

    def serve(self, connection, stream):
        """Serves one connection."""
        raise NotImplementedError

    def close(self, reset=False):
        """Stops listening and closes all connections."""
        try:
            self._socket.shutdown(socket.SHUT_RDWR)
        except OSError:
            pass
        self._socket.close()
        for connection in list(self._connections):
            if reset:
                connection.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
                )
            try:
                connection.shutdown(socket.SHUT_RDWR)
            except OSError:
                pass


class Store(Listener):
    """The platform's store: a revision counter, items and their history."""

    def __init__(self, record, first_revision=1):
        self._record = record
        self._items = {}
        self._history = []
        self._revision = first_revision
        self._dropped = first_revision
        self._changed = threading.Condition()
        super().__init__(('127.0.0.1', 0))

    @property
    def revision(self):
        """Revision of the last change."""
        return self._revision

    def put(self, key, value):
        """Stores a value as JSON; returns the time of the confirmation."""
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._revision += 1
            old = self._items.get(key)
            item = {
                'key': key,
                'value': text,
                'revision': self._revision,
                'create_rev': old['create_rev'] if old else self._revision,
                'lease': 0,
            }
            self._items[key] = item
            self._change(item)
        return time.monotonic()

    def renew(self, key, value):
        """Stores a value that differs only in its sequence number.

        Such a write changes no revision, and watches don't tell of it.
        """
        text = base64.b64encode(json.dumps(value).encode()).decode()
        with self._changed:
            self._items[key] = {**self._items[key], 'value': text}

    def delete(self, key):
        """Removes a key; returns the time of the confirmation."""
        with self._changed:
            if self._items.pop(key, None) is not None:
                self._revision += 1
                self._change(
                    {'key': key, 'revision': self._revision, 'tombstone': True}
                )
        return time.monotonic()

    def _change(self, change):
        now = time.monotonic()
        self._history.append((now, change))
        while self._history[0][0] < now - HISTORY_S:
            self._dropped = self._history.pop(0)[1]['revision']
        self._changed.notify_all()

    def serve(self, connection, stream):
        while head := read_head(stream):
            target = head[0].split(' ')[1]
            path, _, text = target.partition('?')
            query = dict(urllib.parse.parse_qsl(text, keep_blank_values=True))
            status, document = self._answer(path, query)
            body = json.dumps(document).encode()
            connection.sendall(
                f'HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n'
                f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
            )

    def _answer(self, path, query):
        prefix = query.get('path_prefix', '')
        if path == '/jayseam/kv-range':
            with self._changed:
                keys = sorted(
                    key
                    for key in self._items
                    if key.startswith(prefix) and key > query.get('after', '')
                )
                return 200, {
                    'items': [self._items[key] for key in keys[:500]],
                    'more_pages': len(keys) > 500,
                    'as_of': self._revision,
                }
        if path == '/jayseam/kv-watch':
            end = time.monotonic() + int(query.get('wait_ms', '0')) / 1000
            return self._watch(prefix, int(query['after']), end)
        if path == '/jayseam/kv-key':
            with self._changed:
                item = self._items.get(query.get('key'))
                if item:
                    return 200, {**item, 'as_of': self._revision}
        return 404, {}

    def _watch(self, prefix, after, end):
        with self._changed:
            while True:
                if after < self._dropped:
                    return 410, {}
                events = [
                    change
                    for _, change in self._history
                    if change['revision'] > after
                    and change['key'].startswith(prefix)
                ]
                left_s = end - time.monotonic()
                if events or left_s <= 0:
                    return 200, {'events': events, 'as_of': self._revision}
                self._changed.wait(left_s)


class Upstream(Listener):
    """A sound upstream that registers itself and works for as long as told.

    The field ``X-Work-Ms`` of a request says how long its work takes.
    """

    def __init__(self, record, store, address, service, zone, instance):
        self._record = record
        self._store = store
        self.service = service
        self.zone = zone
        self.instance = instance
        self.runs = []
        self.ended = {}
        self.dropped = {}
        self._born = int(time.time() * 1000)
        self._sequence = 0
        self._stopped = threading.Event()
        super().__init__(address)
        self.beat()
        threading.Thread(target=self._run_beats, daemon=True).start()

    def beat(self):
        """Writes the entry of the upstream into the store."""
        self._sequence += 1
        write = self._store.put if self._sequence == 1 else self._store.renew
        write(
            f'servers/{self.instance}',
            {
                'service': self.service,
                'address': f'{self.address[0]}:{self.address[1]}',
                'zone': self.zone,
                'version': 'v1',
                'slots': 12,
                'state': 'ready',
                'cold_remaining': '0ms',
                'sequence': self._sequence,
                'born': self._born,
            },
        )

    def _run_beats(self):
        while not self._stopped.wait(HEARTBEAT_S):
            self.beat()

    def close(self, reset=False):
        self._stopped.set()
        super().close(reset)

    def serve(self, connection, stream):
        while head := read_head(stream):
            line, fields = head
            method, target, _ = line.split(' ')
            body = read_body(stream, fields)
            if body is None:
                return
            request_id = get_field(fields, 'jayseam-request-id') or ''
            expected = get_field(fields, 'jayseam-expect-instance')
            own = f'Jayseam-Instance-Id: {self.instance}\r\n'
            if target == '/health':
                self._send(connection, 200, own, b'')
                continue
            if expected not in (None, self.instance):
                self._send(connection, 421, own, b'', request_id)
                continue
            answer = self._work(connection, method, target, fields, request_id)
            if answer is None:
                return
            self._send(connection, *answer, request_id)

    def _work(self, connection, method, target, fields, request_id):
        """Runs a request; None if its connection was closed meanwhile."""
        work_s = int(get_field(fields, 'x-work-ms') or 20) / 1000
        deadline_s = int(get_field(fields, 'jayseam-deadline-ms')) / 1000
        tenant = get_field(fields, 'jayseam-tenant') or ''
        caller = get_field(fields, 'jayseam-caller-service') or ''
        started = time.monotonic()
        self.runs.append((request_id, started, target))
        self._record.write(
            f'{self.instance} ({self.service}) runs {request_id}'
            f' {method} {target} tenant={tenant} caller={caller}'
            f' deadline_ms={int(deadline_s * 1000)}'
        )
        end = started + min(work_s, deadline_s)
        while time.monotonic() < end:
            time.sleep(min(0.02, max(0.0, end - time.monotonic())))
            if self._is_closed(connection):
                self.dropped[request_id] = time.monotonic()
                self._record.write(f'{self.instance} drops {request_id}')
                return None
        self.ended[request_id] = time.monotonic()
        if deadline_s < work_s:
            self._record.write(f'{self.instance} is past {request_id}')
            return 504, self._sign(request_id), b''
        self._record.write(f'{self.instance} answers {request_id}')
        return 200, self._sign(request_id), b'done ' + request_id.encode()

    def _sign(self, request_id):
        return f'Jayseam-Response-Signature: {self.instance}.{request_id}\r\n'

    def _send(self, connection, status, fields, body, request_id=''):
        echo = f'Jayseam-Request-Id: {request_id}\r\n' if request_id else ''
        refused = 'Jayseam-Not-Executed: 1\r\n' if status == 421 else ''
        connection.sendall(
            f'HTTP/1.1 {status} X\r\n{echo}{fields}{refused}'
            f'Content-Length: {len(body)}\r\n\r\n'.encode() + body
        )

    @staticmethod
    def _is_closed(connection):
        try:
            data = connection.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return False
        except OSError:
            return True
        return not data


class Reply:
    """What a client got: status, fields and body; status 0 without any."""

    def __init__(self, status=0, fields=(), body=b'', whole=False):
        self.status = status
        self.fields = fields
        self.body = body
        self.whole = whole

    @property
    def signature(self):
        """The upstream's proof, or None."""
        return get_field(self.fields, 'jayseam-response-signature')


class Deployment:
    """A store, and VMs that each have an upstream and a node."""

    def __init__(self, directory, first_revision=1):
        self.directory = pathlib.Path(directory)
        self.trouble = os.environ.get('TROUBLE', '1') != '0'
        if not self.trouble:
            first_revision = 1
        self.record = Record(self.directory / 'record.txt')
        self.record.write(f'trouble={int(self.trouble)}')
        self._temporary = tempfile.mkdtemp(prefix='review-')
        self.store = Store(self.record, first_revision)
        self.upstreams = {}
        self.nodes = {}
        self._zones = {}
        self._count = 0
        self._net = random.randint(16, 250)
        self._ports = self._find_ports(6)

    @staticmethod
    def _find_ports(count):
        sockets = [socket.socket() for _ in range(count)]
        for sock in sockets:
            sock.bind(('127.0.0.1', 0))
        ports = [sock.getsockname()[1] for sock in sockets]
        for sock in sockets:
            sock.close()
        return ports

    @property
    def admin_port(self):
        """Port of the nodes' admin listeners."""
        return self._ports[4]

    def build_ip(self, number):
        """Returns the loopback address of a VM."""
        return f'127.{self._net}.0.{number}'

    def add_vm(self, number, service, zone):
        """Starts an upstream and the node beside it."""
        ip = self.build_ip(number)
        self._zones[ip] = (service, zone)
        self.upstreams[ip] = Upstream(
            self.record,
            self.store,
            (ip, self._ports[0]),
            service,
            zone,
            f'i-{number}',
        )
        self.start_node(ip)
        return ip

    def start_node(self, ip):
        """Starts the node of a VM with the command of the deploy file."""
        service, zone = self._zones[ip]
        path = os.path.join(self._temporary, f'{ip}.conf')
        with open(path, 'w', encoding='utf-8') as file:
            file.write(self._build_settings(ip, service, zone))
        log = open(os.path.join(self._temporary, f'{ip}.log'), 'ab')
        kept = ('PATH', 'HOME', 'LANG')
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment['JAYSEAM_SETTINGS'] = path
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        self.nodes[ip] = subprocess.Popen(
            ['python3', '-m', 'jayseam.platform.main'],
            cwd=ROOT,
            env=environment,
            stdout=log,
            stderr=log,
            stdin=subprocess.DEVNULL,
        )
        log.close()
        self.record.write(f'node {ip} started ({service}, {zone})')

    def _build_settings(self, ip, service, zone):
        app, inbound, outbound, ready, first, _ = self._ports
        lines = f"""self.node_name=sidecar-{ip}
self.role=node
self.machine_class=sidecar
self.serves=sidecar
self.ip={ip}
self.zone={zone}
self.region=be-wallonie
self.counts_as_loss=false
self.bootstrap=true
self.limits.cpu_share=0.86
self.limits.cpu_cores=1
self.limits.memory_mb=300
self.limits.max_fds=4100
self.limits.link_mbps=1000.0
self.limits.disk_mb=0
self.app_address={ip}:{app}
self.service={service}
network.listen.inbound={ip}:{inbound}
network.listen.outbound={ip}:{outbound}
network.listen.ready={ip}:{ready}
network.internal_ports={first},{first}
network.seeds=
network.zones.wal-a=be-wallonie
network.zones.wal-b=be-wallonie
network.zones.wal-c=be-wallonie
platform.discovery=platform
platform.entry=static
platform.heartbeat={int(HEARTBEAT_S * 1000)}ms
platform.platform.address=127.0.0.1:{self.store.address[1]}
platform.platform.form=read
platform.platform.writes_per_s=400
platform.platform.reads_per_s=2000
platform.platform.history={int(HISTORY_S)}s
platform.platform.value_bytes=1048576
platform.platform.ttl_min=1000ms
terms.contracts=base,drain,config,cost,retry,recover,places,tenants,quota,platform
terms.fault_tolerance.machines=1
terms.fault_tolerance.zones=1
terms.fault_tolerance.regions=0
terms.bounds.seed_lag=3s
terms.bounds.reuse_after=2s
terms.bounds.stable_window=3000ms
terms.bounds.ack_timeout=4000ms
terms.bounds.catch_up=4s
terms.bounds.drain=2000ms
terms.bounds.grace=6s
terms.bounds.loss_slack=200ms
terms.bounds.config_apply=2000ms
terms.bounds.rollback_slack=250ms
terms.bounds.max_stretch=5000ms
terms.bounds.fail_closed=true
terms.bounds.revoke=5000ms
terms.bounds.retry_budget_ratio=0.2
terms.bounds.budget_window=10s
terms.bounds.budget_slack=56
terms.bounds.quota_window=5s
terms.bounds.quota_overage=0.25
terms.bounds.quota_slack=20
terms.bounds.cold_overage=1.5
terms.bounds.cold_slack=5
terms.bounds.evac=5000ms
terms.bounds.recover=15s
"""
        return lines

    def is_ready(self, ip):
        """Asks a node as the platform does; returns whether it said 200."""
        try:
            with socket.create_connection((ip, self._ports[3]), 1.0) as sock:
                sock.sendall(b'GET /jayseam/ready HTTP/1.1\r\nHost: n\r\n\r\n')
                head = read_head(sock.makefile('rb'))
                return bool(head) and head[0].split(' ')[1] == '200'
        except OSError:
            return False

    def wait_until_ready(self, timeout_s=30.0):
        """Waits until all nodes are ready; exits with 2 if they aren't."""
        end = time.monotonic() + timeout_s
        while not all(self.is_ready(ip) for ip in self.nodes):
            if time.monotonic() > end:
                self.finish(2, 'the nodes did not become ready')
            time.sleep(0.1)
        # The deadlines of the rules apply once all have been in touch.
        time.sleep(4.0)

    def make_id(self):
        """Returns the id of a new request."""
        self._count += 1
        return f'{self._count:016x}'

    def connect(self, ip):
        """Connects as a client on a VM."""
        sock = socket.create_connection((ip, self._ports[2]), 1.0)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return sock

    def send(
        self,
        sock,
        path,
        method='GET',
        key=KEY,
        work_ms=20,
        deadline_ms=1500,
        request_id='',
    ):
        """Sends a request and returns its id."""
        request_id = request_id or self.make_id()
        authorization = f'Authorization: Bearer {key}\r\n' if key else ''
        length = 'Content-Length: 0\r\n' if method != 'GET' else ''
        sock.sendall(
            f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
            f'Jayseam-Request-Id: {request_id}\r\n'
            f'Jayseam-Deadline-Ms: {deadline_ms}\r\n'
            f'X-Work-Ms: {work_ms}\r\n{authorization}{length}\r\n'.encode()
        )
        self.record.write(
            f'client sends {request_id} {method} {path} key={key}'
            f' work_ms={work_ms} deadline_ms={deadline_ms}'
        )
        return request_id

    def receive(self, sock, request_id, timeout_s=10.0):
        """Returns the reply to a request."""
        sock.settimeout(timeout_s)
        reply = Reply()
        try:
            stream = sock.makefile('rb')
            head = read_head(stream)
            if head:
                status = int(head[0].split(' ')[1])
                body = read_body(stream, head[1])
                reply = Reply(status, head[1], body or b'', body is not None)
        except (OSError, ValueError) as error:
            self.record.write(f'client of {request_id}: {error!r}')
        self.record.write(
            f'client gets {request_id} status={reply.status}'
            f' signature={reply.signature} body={reply.body[:160]!r}'
        )
        return reply

    def call(self, ip, path, **options):
        """Sends a request on a new connection and returns its reply."""
        try:
            with self.connect(ip) as sock:
                request_id = self.send(sock, path, **options)
                return self.receive(sock, request_id)
        except OSError as error:
            self.record.write(f'client: {error!r}')
            return Reply()

    def finish(self, code, text):
        """Ends all that was started and exits with a code."""
        self.record.write(f'result {code}: {text}')
        print(f'{code}: {text}')
        for process in self.nodes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGKILL)
            process.wait()
        for upstream in self.upstreams.values():
            upstream.close()
        self.store.close()
        if os.environ.get('REVIEW_KEEP_LOGS'):
            print(self._temporary)
        else:
            shutil.rmtree(self._temporary, ignore_errors=True)
        sys.stdout.flush()
        os._exit(code)


def build_route(name, **spec):
    """Returns a route resource."""
    return {
        'resource_type': 'routes',
        'metadata': {'name': name},
        'spec': {
            'host': HOST,
            'path_prefix': f'/{name}/',
            'kind': 'safe',
            'timeout': '1500ms',
            'target_latency': '600ms',
            'priority': 1,
            'service': 'points',
            'max_attempts': 2,
            'public': False,
            **spec,
        },
    }


def build_configuration(version, routes, keys=(KEY, OTHER_KEY)):
    """Returns a configuration with two services and a tenant."""
    services = [
        {
            'resource_type': 'services',
            'metadata': {'name': name},
            'spec': {
                'health_path': '/health',
                'max_connections': 110,
                'protocol': 'h1',
                'tls': False,
                'cold_start': '3s',
                'cold_per_s': 15.0,
            },
        }
        for name in ('points', 'credits')
    ]
    tenant = {
        'resource_type': 'tenants',
        'metadata': {'name': 'pulo780'},
        'spec': {
            'api_keys': list(keys),
            'priority': 1,
            'rate_per_s': 78,
            'burst': 78,
        },
    }
    limits = {
        'resource_type': 'limits',
        'metadata': {},
        'spec': {
            'max_header_bytes': 16384,
            'max_body_bytes': 67108864,
            'header_timeout': '3000ms',
            'idle_timeout': '15000ms',
        },
    }
    return {
        'version': version,
        'resources': [*routes, *services, tenant, limits],
    }


def run(main, first_revision=1):
    """Runs a case; exits with 2 if it can't run.

    Args:
      main: Takes the deployment.
      first_revision: Revision of the store at the start, with the disruption.
    """
    directory = pathlib.Path(sys.argv[0]).resolve().parent
    deployment = Deployment(directory, first_revision)
    run_with(main, deployment)


def run_with(main, deployment):
    """Runs a case in a deployment; exits with 2 if it can't run."""
    watchdog = threading.Timer(
        LIMIT_S, lambda: deployment.finish(2, 'ran for too long')
    )
    watchdog.daemon = True
    watchdog.start()
    signal.signal(
        signal.SIGTERM, lambda *_: deployment.finish(2, 'was interrupted')
    )
    try:
        main(deployment)
    except Exception as error:  # pylint: disable=broad-exception-caught
        deployment.finish(2, f'the case could not run: {error!r}')
