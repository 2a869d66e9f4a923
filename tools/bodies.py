#!/usr/bin/env python3
"""What bodies cost a proxy: memory with long ones both ways, and CPU with short ones.

    tools/bodies.py long PROXY [COUNT [MB]]       peak memory with COUNT uploads and responses of MB each at once
    tools/bodies.py short PROXY OTHER [ROUNDS]    CPU per short request, both programs in turn, as a ratio
    tools/bodies.py load HOST:PORT/CLASS SECONDS  eight clients, half on new connections, and how all their requests ended

PROXY is a `sparlug-proxy`. Everything is on loopback, and ends on its own."""
import itertools, json, socket, subprocess, sys, tempfile, threading, time

SETTINGS = {
    "tier": 0, "balancers": 1, "roundMs": 1.0, "discovery": "pushed", "zones": ["a"],
    "tariffs": [{"name": "write", "latencyGoalMs": 5000, "cutOffMs": 9000, "value": 1, "effect": "side_effect"},
                {"name": "read", "latencyGoalMs": 5000, "cutOffMs": 9000, "value": 1, "effect": "pure"}],
    "report": {"how": "answers", "columns": ["busy_reqs", "pending"]},
    "allowed": {"maxForwards": 2, "cancelling": True, "retryAfter": True, "maxRetryAfterMs": 500, "dialTimeoutMs": 1000},
    "obligations": {"coldShare": 0.3, "rampTimeMs": 8000, "fallMultiple": 3, "tipAfterMs": 3000},
}


def head(stream):
    text = b""
    while not text.endswith(b"\r\n\r\n"):
        line = stream.readline()
        if not line:
            return None
        text += line
    return text


def length(text):
    fields = [line.split(b":") for line in text.split(b"\r\n") if line.lower().startswith(b"content-length")]
    return int(fields[0][1]) if fields else 0


def backend(size):
    """Responds to each request, once its body is complete, with `size` bytes."""
    listener = socket.create_server(("127.0.0.1", 0), backlog=256)

    def serve(conn):
        stream = conn.makefile("rb")
        while (text := head(stream)) is not None:
            left = length(text)
            while left:
                left -= len(stream.read(min(left, 1 << 16)))
            conn.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
            for at in range(0, size, 1 << 16):
                conn.sendall(b"x" * min(1 << 16, size - at))

    def accept():
        while True:
            conn = listener.accept()[0]
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=serve, args=(conn,), daemon=True).start()

    threading.Thread(target=accept, daemon=True).start()
    return listener.getsockname()


class Proxy:
    def __init__(self, program, backend):
        free = socket.create_server(("127.0.0.1", 0))
        self.address = free.getsockname()
        free.close()
        self.agent = socket.create_server(("127.0.0.1", 0))
        named = lambda at: "%s:%d" % at
        host = {"host": "h0", "dial": named(backend), "site": "a", "health": "Ready", "share": 1.0}
        config = {"name": "t", "listen": named(self.address), "discovery": named(self.agent.getsockname()), "seed": "1f",
                  "limits": {"sockets": 1024, "memory_mb": 48}, "settings": SETTINGS,
                  "known": {"seq": 4, "whole": True, "hosts": [host]}}
        file = tempfile.NamedTemporaryFile("w", suffix=".json", delete=False)
        json.dump(config, file)
        file.close()
        self.process = subprocess.Popen([program], env={"ROUTER_CONFIG": file.name}, stderr=subprocess.DEVNULL)
        while True:
            try:
                return self.connect().close()
            except ConnectionRefusedError:
                time.sleep(0.02)

    def connect(self):
        conn = socket.create_connection(self.address)
        conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        return conn

    def peak_mb(self):
        lines = open("/proc/%d/status" % self.process.pid).read().splitlines()
        return int(next(line for line in lines if line.startswith("VmHWM")).split()[1]) / 1024

    def cpu(self):
        return int(open("/proc/%d/schedstat" % self.process.pid).read().split()[0]) / 1e9

    def end(self):
        self.process.kill()
        self.process.wait()


def long(program, count=16, megabytes=32):
    size, results = megabytes << 20, []
    proxy = Proxy(program, backend(size))
    idle = proxy.peak_mb()

    def run_client(number):
        conn = proxy.connect()
        text = "POST /write HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\nRequest-Timeout: 8\r\nContent-Length: %d\r\n\r\n"
        conn.sendall((text % (number, size)).encode())
        for at in range(0, size, 1 << 18):
            conn.sendall(b"y" * min(1 << 18, size - at))
            time.sleep(0.005)
        stream, got = conn.makefile("rb"), 0
        status = (head(stream) or b"- none").split()[1]
        while piece := stream.read(1 << 18):
            got += len(piece)
            if got == size:
                break
            time.sleep(0.005)  # a slow reader
        results.append((status, got))

    threads = [threading.Thread(target=run_client, args=(number,)) for number in range(count)]
    [thread.start() for thread in threads]
    [thread.join() for thread in threads]
    complete = sum(1 for status, got in results if (status, got) == (b"200", size))
    print("%d of %d complete in both directions, %d MB each; peak memory %.1f MB, %.1f MB before" %
          (complete, count, megabytes, proxy.peak_mb(), idle))
    proxy.end()


def short(program, other, rounds=8, requests=8000):
    at, figures = backend(200), {program: [], other: []}
    for turn in range(rounds):
        for each in [program, other] if turn % 2 else [other, program]:
            proxy = Proxy(each, at)

            def run_client(first):
                conn = proxy.connect()
                stream = conn.makefile("rb")
                for number in range(first, first + requests // 4):
                    conn.sendall(b"GET /read HTTP/1.1\r\nHost: h\r\nRequest-Id: %d\r\nRequest-Timeout: 5\r\n\r\n" % number)
                    stream.read(length(head(stream)))

            threads = [threading.Thread(target=run_client, args=(part * requests,)) for part in range(4)]
            [thread.start() for thread in threads]
            [thread.join() for thread in threads]
            figures[each].append(proxy.cpu() / requests * 1e6)
            proxy.end()
    means = [sum(figures[each]) / rounds for each in (program, other)]
    print("us of CPU per short request: %s, %s; in the mean %.1f and %.1f, ratio %.3f" %
          (*([round(figure, 1) for figure in figures[each]] for each in (program, other)), *means, means[0] / means[1]))


def load(target, seconds):
    (address, path), ends, numbers = target.split("/", 1), {}, itertools.count()
    host, port = address.split(":")
    stop = time.time() + seconds

    def run_client(keeps):
        conn = stream = None
        while time.time() < stop:
            end = "closed without a response"
            # A persistent connection may end between requests; the request is then sent again on a new one.
            for fresh in (conn is None, True):
                if conn is None:
                    conn = socket.create_connection((host, int(port)), 5)
                    stream = conn.makefile("rb")
                close = "" if keeps else "Connection: close\r\n"
                text = "GET /%s HTTP/1.1\r\nHost: h\r\nRequest-Id: l%d\r\nRequest-Timeout: 0.5\r\n%s\r\n"
                try:
                    conn.sendall((text % (path, next(numbers), close)).encode())
                    response = head(stream)
                except OSError as e:
                    response, end = None, str(e)
                if response is not None:
                    stream.read(length(response))
                    end = response.split()[1].decode()
                    conn = None if b"connection: close" in response.lower() else conn
                    break
                conn = None
                if fresh:
                    break
            ends[end] = ends.get(end, 0) + 1

    threads = [threading.Thread(target=run_client, args=(number % 2 == 0,)) for number in range(8)]
    [thread.start() for thread in threads]
    [thread.join() for thread in threads]
    print("%d requests ended: %s" % (sum(ends.values()), ends))


if __name__ == "__main__":
    what, arguments = sys.argv[1] if len(sys.argv) > 2 else "", sys.argv[2:]
    if what == "long":
        long(arguments[0], *map(int, arguments[1:]))
    elif what == "short" and len(arguments) > 1:
        short(*arguments[:2], *map(int, arguments[2:]))
    elif what == "load" and len(arguments) == 2:
        load(arguments[0], float(arguments[1]))
    else:
        sys.exit(__doc__)
