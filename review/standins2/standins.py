"""Stand-ins for the platform's store, workers and clients, and a runner of entries.

They follow PROTOCOL.md and DEPLOY.md. Every address is a loopback address.
"""
import asyncio
import base64
import json
import os
import random
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = os.path.realpath(os.path.join(os.path.dirname(__file__), '..', '..'))
PROGRAM = os.path.join(ROOT, 'target', 'platform', 'fuchsia-edge')
ZONES = {'nord-a': 'nord', 'plaines-a': 'plaines', 'sud-a': 'sud',
         'nord-b': 'nord', 'plaines-b': 'plaines', 'sud-b': 'sud'}
# The bounds of the deployment `lirenou`.
BOUNDS = {'seed_lag_s': 3, 'addr_reuse_s': 2, 'stability_ms': 3000, 'ack_ms': 4000,
          'catch_up_s': 4, 'drain_ms': 2000, 'grace_s': 6, 'loss_slack_ms': 200,
          'config_apply_ms': 2000, 'rollback_slack_ms': 250, 'max_skew_ms': 5000,
          'retry_budget_ratio': 0.2, 'budget_window_s': 10, 'budget_slack': 60,
          'cold_overshoot': 1.5, 'cold_slack': 5, 'evacuation_ms': 5000, 'recovery_s': 15,
          'ttl_max_s': 5, 'max_shift': 0.15}
REASONS = {200: 'OK', 404: 'Not Found', 410: 'Gone', 412: 'Precondition Failed',
           421: 'Misdirected Request', 503: 'Service Unavailable'}


class Unusable(Exception):
    """The case could not run; the exit status is 2."""


class Record:
    """Writes record.txt."""

    def __init__(self, path):
        self.start = time.monotonic()
        self.file = open(path, 'w', encoding='utf-8')

    def now(self):
        return time.monotonic() - self.start

    def write(self, who, what):
        self.file.write('%8.3f %s %s\n' % (self.now(), who, what))
        self.file.flush()


def free_port(addresses):
    """Returns a port that is free for TCP and UDP on each of the addresses."""
    for _ in range(200):
        port = random.randint(20000, 32000)
        try:
            for address in addresses:
                for kind in (socket.SOCK_STREAM, socket.SOCK_DGRAM):
                    with socket.socket(socket.AF_INET, kind) as one:
                        one.bind((address, port))
            return port
        except OSError:
            continue
    raise Unusable('no free port')


async def read_head(reader):
    """Returns the start line and the fields (lower-case names) of a message."""
    text = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    lines = text.split('\r\n')
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(':')
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    if 'chunked' in fields.get('transfer-encoding', ''):
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readline()
            if size == 0:
                return body
    return await reader.readexactly(int(fields.get('content-length', 0)))


def message(status, fields, body=b''):
    head = 'HTTP/1.1 %d %s\r\n' % (status, REASONS.get(status, 'Status'))
    for name, value in fields.items():
        head += '%s: %s\r\n' % (name, value)
    return (head + 'Content-Length: %d\r\n\r\n' % len(body)).encode() + body


class Store:
    """The platform's store. While `up` is false it reads calls and answers nothing."""

    def __init__(self, record, host='127.0.0.1'):
        self.record = record
        self.host = host
        self.port = free_port([host])
        self.rev = 100
        self.items = {}
        self.history = []
        self.leases = {}
        self.next_lease = 7
        self.changed = asyncio.Condition()
        self.watches = set()
        self.up = True
        self.returned = asyncio.Event()
        self.on_renewal = None
        self.server = None
        # Stated in the header Store-Era of all answers, if set.
        self.era = None

    async def start(self):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 22)
        self.expiry = asyncio.ensure_future(self.expire())

    async def notify(self):
        async with self.changed:
            self.changed.notify_all()

    def shown(self, key, it):
        return {'key': key, 'value': base64.b64encode(it['value']).decode(), 'rev': it['rev'],
                'created': it['created'], 'lease': it['lease']}

    def put(self, key, value, lease=0):
        self.rev += 1
        old = self.items.get(key)
        it = {'value': value, 'rev': self.rev, 'created': old['created'] if old else self.rev,
              'lease': lease}
        self.items[key] = it
        self.history.append((self.rev, key, self.shown(key, it)))
        self.record.write('store', 'put %s rev=%d bytes=%d' % (key, self.rev, len(value)))

    def remove(self, key):
        if key in self.items:
            del self.items[key]
            self.rev += 1
            self.history.append((self.rev, key, {'key': key, 'rev': self.rev, 'deleted': True}))
            self.record.write('store', 'removed %s rev=%d' % (key, self.rev))

    async def write(self, key, value):
        """A confirmed write of the operator or of a worker."""
        self.put(key, value if isinstance(value, bytes) else json.dumps(value).encode())
        await self.notify()

    async def drop(self, key):
        self.remove(key)
        await self.notify()

    def cut_watches(self):
        """Cuts the watches that are waiting, as the store may do at any time."""
        self.record.write('store', 'cuts %d waiting watches' % len(self.watches))
        for writer in list(self.watches):
            writer.transport.abort()

    def go_down(self):
        """The store falls silent; its leases pause."""
        self.up = False
        self.returned.clear()
        self.down_at = time.monotonic()
        self.record.write('store', 'is down; leases pause')

    async def come_back(self):
        paused = time.monotonic() - self.down_at
        for lease in self.leases.values():
            lease['ends'] += paused
        self.up = True
        self.returned.set()
        self.record.write('store', 'is back after %.1f s' % paused)
        await self.notify()

    def copy(self):
        """Returns a copy of the store, from which it may come back."""
        now = time.monotonic()
        self.record.write('store', 'is copied at rev=%d' % self.rev)
        return {'rev': self.rev, 'history': list(self.history),
                'items': {key: dict(it) for key, it in self.items.items()},
                'left': {number: (it['ttl'], it['ends'] - now)
                         for number, it in self.leases.items()}}

    async def come_back_from(self, copy):
        """The store comes back from an older copy; its revisions go back, and its era rises."""
        now = time.monotonic()
        self.rev, self.history = copy['rev'], list(copy['history'])
        self.items = {key: dict(it) for key, it in copy['items'].items()}
        self.leases = {number: {'ttl': ttl, 'ends': now + left}
                       for number, (ttl, left) in copy['left'].items()}
        self.era += 1
        self.up = True
        self.returned.set()
        self.record.write('store', 'is back at rev=%d, Store-Era %d' % (self.rev, self.era))
        await self.notify()

    async def expire(self):
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            if not self.up:
                continue
            for number in [n for n, it in self.leases.items() if it['ends'] <= now]:
                self.end_lease(number)
                await self.notify()

    def end_lease(self, number):
        del self.leases[number]
        for key in [k for k, it in self.items.items() if it['lease'] == number]:
            self.remove(key)

    async def serve(self, reader, writer):
        try:
            while True:
                line, fields = await read_head(reader)
                body = await read_body(reader, fields)
                if not self.up:
                    # A connection on which a response is lost returns nothing further.
                    await reader.read()
                    return
                method, target, _ = line.split(' ', 2)
                status, answer = await self.call(method, target, body, writer)
                if not self.up:
                    await reader.read()
                    return
                common = {'Content-Type': 'application/json'}
                if self.era is not None:
                    common['Store-Era'] = self.era
                writer.write(message(status, common, json.dumps(answer).encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    async def call(self, method, target, body, writer):
        parts = urllib.parse.urlsplit(target)
        query = {k: v[0] for k, v in
                 urllib.parse.parse_qs(parts.query, keep_blank_values=True).items()}
        path = parts.path.replace('/fuchsiaproxy/', '')
        if path == 'kv-range':
            return self.range(query)
        if path == 'kv-watch':
            return await self.watch(query, writer)
        if path == 'kv-txn':
            return await self.txn(json.loads(body))
        if path == 'kv-lease':
            return self.grant(json.loads(body)['ttl_ms'])
        if path.startswith('kv-keep/'):
            return self.renew(int(path[8:]))
        if path.startswith('kv-lease-end/'):
            return await self.end(int(path[13:]))
        return 404, {}

    def range(self, query):
        after = query.get('after', '')
        keys = sorted(k for k in self.items if k.startswith(query.get('prefix', '')) and k > after)
        shown = [self.shown(k, self.items[k]) for k in keys[:500]]
        return 200, {'items': shown, 'has_more': len(keys) > 500, 'current_rev': self.rev}

    async def watch(self, query, writer):
        after = int(query['after'])
        prefix = query.get('prefix', '')
        ends = time.monotonic() + int(query['wait_ms']) / 1000
        self.watches.add(writer)
        try:
            while True:
                seen = [it for rev, key, it in self.history
                        if rev > after and key.startswith(prefix)]
                left = ends - time.monotonic()
                if self.up and after > self.rev:
                    return 410, {}
                if self.up and (seen or left <= 0):
                    return 200, {'events': seen, 'current_rev': self.rev}
                if writer.transport.is_closing():
                    raise ConnectionError()
                async with self.changed:
                    try:
                        await asyncio.wait_for(self.changed.wait(), max(0.01, min(left, 0.5)))
                    except asyncio.TimeoutError:
                        pass
        finally:
            self.watches.discard(writer)

    async def txn(self, call):
        for it in call.get('expected_rev', []):
            known = self.items.get(it['key'])
            if (known['rev'] if known else 0) != it['rev']:
                return 412, {'items': []}
        for it in call.get('puts', []):
            lease = it.get('lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
        for it in call.get('puts', []):
            self.put(it['key'], base64.b64decode(it['value']), it.get('lease', 0))
        for key in call.get('remove', []):
            self.remove(key)
        await self.notify()
        return 200, {'rev': self.rev}

    def grant(self, ttl_ms):
        self.next_lease += 1
        self.leases[self.next_lease] = {'ttl': ttl_ms, 'ends': time.monotonic() + ttl_ms / 1000}
        return 200, {'lease': self.next_lease, 'ttl_ms': ttl_ms}

    def renew(self, number):
        lease = self.leases.get(number)
        if lease is None:
            return 404, {}
        lease['ends'] = time.monotonic() + lease['ttl'] / 1000
        if self.on_renewal:
            self.on_renewal(number)
        return 200, {'lease': number, 'ttl_ms': lease['ttl']}

    async def end(self, number):
        if number not in self.leases:
            return 404, {}
        self.end_lease(number)
        await self.notify()
        return 200, {}

    def key_of_lease(self, number):
        return next((k for k, it in self.items.items() if it['lease'] == number), None)


class Worker:
    """A worker of a service. `work_s` is the time that a request takes."""

    def __init__(self, record, store, service, zone, work_s, slots=6, host='127.0.0.1'):
        self.record = record
        self.store = store
        self.id = 'i-%08x' % random.getrandbits(32)
        self.service = service
        self.zone = zone
        self.work_s = work_s
        self.slots = slots
        self.host = host
        self.port = free_port([host])
        self.running = 0
        self.seq = 1
        self.state = 'ready'
        self.born = int(time.time() * 1000)
        self.arrivals = []
        self.ran = {}
        self.connections = set()
        self.server = None

    def record_of(self):
        return {'address': '%s:%d' % (self.host, self.port), 'born': self.born,
                'info': {'service': self.service, 'zone': self.zone, 'config_version': 'v1',
                         'slots': self.slots},
                'status': {'state': self.state, 'seq': self.seq, 'cold_remaining_ms': 0}}

    async def start(self, register=True):
        self.server = await asyncio.start_server(self.serve, self.host, self.port, limit=1 << 20)
        if register:
            await self.register()

    async def register(self):
        await self.store.write('servers/' + self.id, self.record_of())

    async def report(self, state):
        self.state = state
        self.seq += 1
        await self.register()

    def exit(self):
        """Ends the worker: its address refuses connections, and open ones are reset."""
        self.record.write(self.id, 'exits with %d requests running' % self.running)
        self.server.close()
        for writer in list(self.connections):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.connections.add(writer)
        try:
            while True:
                line, fields = await asyncio.wait_for(read_head(reader), 10)
                body = await read_body(reader, fields)
                await self.answer(line, fields, body, writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, asyncio.TimeoutError, ConnectionError, OSError,
                asyncio.CancelledError):
            pass
        finally:
            self.connections.discard(writer)
            writer.close()

    def load(self):
        return '%d,%d,%d,100' % (min(self.running, self.slots),
                                 max(0, self.running - self.slots), self.slots)

    async def answer(self, line, fields, body, writer):
        request = fields.get('x-attempt-id', '')
        common = {'X-Attempt-Id': request, 'X-Server-Load': self.load(),
                  'Keep-Alive': 'timeout=10'}
        wanted = fields.get('x-expected-instance')
        if wanted and wanted != self.id:
            writer.write(message(421, {**common, 'X-Not-Executed': '1', 'X-Instance-Id': self.id}))
            return
        if self.running >= 4 * self.slots:
            writer.write(message(503, {**common, 'X-Not-Executed': '1'}))
            return
        self.arrivals.append((time.monotonic(), request))
        self.ran[request] = self.ran.get(request, 0) + 1
        self.record.write(self.id, 'runs %s %s' % (request, line))
        self.running += 1
        try:
            await self.work(line, fields, body, writer, common)
        finally:
            self.running -= 1

    async def work(self, line, fields, body, writer, common):
        await asyncio.sleep(self.work_s)
        common['X-Response-Seal'] = 'seal.' + common['X-Attempt-Id']
        writer.write(message(200, common, self.body_of(common['X-Attempt-Id'])))

    def body_of(self, request):
        return ('%s by %s\n' % (request, self.id)).encode() * 8


def config(version, routes, services, tenants=None):
    """Returns a config; `tenants` are rows of name and keys."""
    made = {'config_version': '%08x' % version,
            'routes': {'columns': ['name', 'hostname', 'prefix', 'service', 'type', 'timeout_ms',
                                   'target_latency_ms', 'max_attempts', 'priority',
                                   'session_affinity'],
                       'rows': routes},
            'services': {'columns': ['name', 'health_path', 'max_conns', 'cold_start_s',
                                     'cold_per_s'],
                         'rows': [[it, '/health', 360, 3, 13] for it in services]},
            'limits': {'max_header_bytes': 16384, 'max_body_bytes': 67108864,
                       'header_timeout_ms': 3000, 'idle_timeout_ms': 15000}}
    if tenants is not None:
        made['tenants'] = {'columns': ['name', 'api_keys'], 'rows': tenants}
    return made


class Entry:
    """An instance of `fuchsia-edge`, started with the command of the deploy file."""

    def __init__(self, fleet, number, zone):
        self.fleet = fleet
        self.name = 'edge-%s-%d' % (zone, number)
        self.ip = '127.9.%d.%d' % (fleet.net, number)
        self.zone = zone
        self.process = None

    def settings(self):
        ports = self.fleet.ports
        bounds = self.fleet.bounds
        made = {
            'entry': {'id': self.name, 'zone': self.zone, 'region': ZONES[self.zone]},
            'zones': ZONES,
            'listen': {'callers': '%s:%d' % (self.ip, ports['callers']),
                       'look_ups': '%s:%d' % (self.ip, ports['look_ups']),
                       'readiness': '%s:%d' % (self.ip, ports['readiness']),
                       'internal_address': self.ip, 'peer_port': ports['peer'],
                       'metrics_port': ports['metrics']},
            'store': {'address': '%s:%d' % (self.fleet.store.host, self.fleet.store.port)},
            'limits': {'descriptors': 4100},
            'bounds': {'extra_attempt_ratio': bounds['retry_budget_ratio'],
                       'extra_attempt_slack': bounds['budget_slack'],
                       'stop_s': bounds['grace_s'], 'store_settle_ms': bounds['stability_ms'],
                       'apply_ms': bounds['config_apply_ms'], 'drain_ms': bounds['drain_ms'],
                       'look_up_ttl_s': bounds['ttl_max_s']}}
        if bounds.get('strict_revoke'):
            made['bounds']['revocation_bound_ms'] = bounds['revoke_ms']
        if bounds.get('quota_window_s'):
            made['bounds'].update(allowance_window_s=bounds['quota_window_s'],
                                  allowance_overshoot=bounds['quota_overshoot'],
                                  allowance_slack=bounds['quota_slack'])
        return json.dumps(made)

    def start(self):
        path = os.path.join(self.fleet.folder, self.name + '.json')
        with open(path, 'w', encoding='utf-8') as out:
            out.write(self.settings())
        env = {'PATH': os.environ.get('PATH', ''), 'HOME': self.fleet.folder,
               'LANG': 'C', 'FUCHSIAPROXY_BOOT': path}
        log = open(os.path.join(self.fleet.folder, self.name + '.log'), 'ab')
        self.process = subprocess.Popen([self.fleet.program], cwd=ROOT, env=env, stdout=log,
                                        stderr=log, stdin=subprocess.DEVNULL)
        log.close()
        self.fleet.record.write(self.name, 'starts, pid %d' % self.process.pid)

    def ended(self):
        return self.process.poll()

    def signal(self, number):
        self.fleet.record.write(self.name, 'gets signal %d' % number)
        self.process.send_signal(number)

    async def get(self, port, target, limit=1.0):
        reader, writer = await asyncio.wait_for(
            asyncio.open_connection(self.ip, self.fleet.ports[port]), limit)
        try:
            writer.write(('GET %s HTTP/1.1\r\nHost: %s\r\nConnection: close\r\n\r\n'
                          % (target, self.ip)).encode())
            line, fields = await asyncio.wait_for(read_head(reader), limit)
            body = await asyncio.wait_for(read_body(reader, fields), limit)
            return int(line.split()[1]), body
        finally:
            writer.close()

    async def ready(self):
        try:
            return (await self.get('readiness', '/fuchsiaproxy/ready'))[0] == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False

    async def resolve(self):
        status, body = await self.get('look_ups', '/fuchsiaproxy/resolve?name=a.example&region=%s'
                                      '&zone=%s' % (ZONES[self.zone], self.zone))
        return json.loads(body)['addresses'] if status == 200 else None


class Fleet:
    """The entries of a case, with the folder for their settings and logs."""

    def __init__(self, record, store, program=PROGRAM, bounds=BOUNDS):
        self.bounds = bounds
        if not os.path.exists(program):
            raise Unusable(program + ' is missing')
        self.record = record
        self.store = store
        self.program = program
        self.net = random.randint(1, 250)
        self.folder = tempfile.mkdtemp(prefix='review-')
        self.entries = []
        self.ports = {}

    def add(self, zones, started=None):
        """Makes entries, and starts the first `started` of them; all if it isn't given."""
        self.entries = [Entry(self, n + 1, zone) for n, zone in enumerate(zones)]
        ips = [it.ip for it in self.entries]
        for name in ('callers', 'look_ups', 'readiness', 'peer', 'metrics'):
            self.ports[name] = free_port(ips)
        for it in self.entries[:started]:
            it.start()

    async def wait_ready(self, limit=10):
        ends = time.monotonic() + limit
        for it in self.entries:
            while it.process and not await it.ready():
                if time.monotonic() > ends:
                    raise Unusable(it.name + ' is not ready')
                await asyncio.sleep(0.1)

    def stop(self):
        for it in self.entries:
            if it.process and it.process.poll() is None:
                it.process.send_signal(signal.SIGCONT)
                it.process.kill()
        for it in self.entries:
            if it.process:
                it.process.wait()
        if not os.environ.get('KEEP'):
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder)


class Client:
    """Sends requests to one entry, one after the other on a kept connection."""

    def __init__(self, record, entry, name):
        self.record = record
        self.entry = entry
        self.name = name
        self.streams = None

    async def connect(self):
        self.streams = await asyncio.wait_for(
            asyncio.open_connection(self.entry.ip, self.entry.fleet.ports['callers']), 1)

    def close(self):
        if self.streams:
            self.streams[1].close()
            self.streams = None

    async def send(self, method, target, body=b'', limit_ms=2500, key=None, api_key=None):
        """Sends one request. Returns (request id, status or None, fields, body)."""
        request = '%016x' % random.getrandbits(64)
        head = '%s %s HTTP/1.1\r\nHost: a.example\r\nX-Attempt-Id: %s\r\nX-Deadline-Ms: %d\r\n' % (
            method, target, request, limit_ms)
        if key is not None:
            head += 'Cookie: X-Affinity-Key=%s\r\n' % key
        if api_key is not None:
            head += 'Authorization: Bearer %s\r\n' % api_key
        if method != 'GET':
            head += 'Content-Length: %d\r\n' % len(body)
        status, fields, answer = None, {}, b''
        self.record.write(self.name, 'sends %s %s %s to %s' % (request, method, target,
                                                               self.entry.name))
        try:
            if self.streams is None:
                await self.connect()
            reader, writer = self.streams
            writer.write((head + '\r\n').encode() + body)
            line, fields = await asyncio.wait_for(read_head(reader), limit_ms / 1000 + 1)
            status = int(line.split()[1])
            answer = await asyncio.wait_for(read_body(reader, fields), limit_ms / 1000 + 1)
            if fields.get('connection') == 'close':
                self.close()
            self.record.write(self.name, 'gets %s %d' % (request, status))
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError) as ex:
            self.record.write(self.name, 'gets %s no complete answer (%s)' % (request,
                                                                              type(ex).__name__))
            status = None
            self.close()
        return request, status, fields, answer


def run(case, folder):
    """Runs `case(record, trouble)`, which returns (broken, text), and exits."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    record = Record(os.path.join(folder, 'record.txt'))
    record.write('case', 'starts, trouble=%s' % trouble)
    try:
        broken, text = asyncio.run(asyncio.wait_for(case(record, trouble), 110))
    except Unusable as ex:
        record.write('case', 'could not run: %s' % ex)
        print('could not run: %s' % ex)
        sys.exit(2)
    except asyncio.TimeoutError:
        record.write('case', 'could not run: time limit')
        sys.exit(2)
    record.write('case', text)
    print(text)
    sys.exit(1 if broken else 0)
