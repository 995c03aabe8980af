#!/usr/bin/env python3
"""Soak of the whole node on loopback with stand-ins of our own.

Starts two toy workers and the node (the example configuration, with its quotas raised so that
work passes), then for a while opens and closes connections that send requests with ever new
Request-Ids, tenants and keys, and now and then garbage. Every few seconds it prints the node's
RSS, descriptors, threads and the time of one request.

    bench/node_soak.py BUILD_DIR [SECONDS] [CONNECTIONS]
"""
import json
import os
import random
import socket
import subprocess
import sys
import tempfile
import time

build = sys.argv[1]
seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 60
parallel = int(sys.argv[3]) if len(sys.argv) > 3 else 16
here = os.path.dirname(os.path.abspath(__file__))


def free_port():
    with socket.socket() as s:
        s.bind(("127.0.0.1", 0))
        return s.getsockname()[1]


config = json.load(open(os.path.join(here, "..", "examples", "millethollow.json")))
front, admin, gearman = free_port(), free_port(), free_port()
workers = [free_port(), free_port()]
config["listen"] = f"127.0.0.1:{front}"
config["admin"] = f"127.0.0.1:{admin}"
config["gearman"]["listen"] = f"127.0.0.1:{gearman}"
config["log_level"] = "info"
for server, port in zip(config["known"]["servers"], workers):
    server["addr"] = f"127.0.0.1:{port}"
for tenant in config["settings"]["tenants"]:
    tenant["quota_rps"] = 2000
tenants = [t["name"] for t in config["settings"]["tenants"]]
classes = [c["name"] for c in config["settings"]["classes"]]

folder = tempfile.mkdtemp()
path = os.path.join(folder, "node.json")
json.dump(config, open(path, "w"))
log = open(os.path.join(folder, "node.log"), "w")
toys = [subprocess.Popen([os.path.join(build, "toy_worker"), f"127.0.0.1:{p}", "2"],
                         stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL) for p in workers]
time.sleep(0.3)
node = subprocess.Popen([os.path.join(build, "millethollow"), "--config", path], stderr=log)
time.sleep(0.5)


def status(pid):
    fields = {}
    for line in open(f"/proc/{pid}/status"):
        key, _, value = line.partition(":")
        fields[key] = value.split()
    return int(fields["VmRSS"][0]), int(fields["Threads"][0]), len(os.listdir(f"/proc/{pid}/fd"))


def request(n):
    tenant, cls = random.choice(tenants), random.choice(classes)
    body = b"x" * random.randint(0, 512)
    head = (f"POST /api HTTP/1.1\r\nHost: t\r\nRequest-Id: s{n:012x}\r\nRequest-Class: {cls}\r\n"
            f"Tenant: {tenant}\r\nCookie: k={random.getrandbits(48):012x}\r\n"
            f"Request-Timeout-Ms: 2000\r\nIdempotency-Key: {random.getrandbits(64):016x}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


def read_answer(sock):
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = sock.recv(65536)
        if not chunk:
            return None
        data += chunk
    head, _, rest = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n")[1:]:
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(rest) < length:
        chunk = sock.recv(65536)
        if not chunk:
            break
        rest += chunk
    return int(head.split(b" ")[1])


random.seed(7)
count, answers, took = 0, {}, []
start = last = time.monotonic()
print("second  rss_kB  threads  descriptors  log_bytes  requests  p50_ms  answers")
socks = []
while time.monotonic() - start < seconds:
    while len(socks) < parallel:
        s = socket.create_connection(("127.0.0.1", front))
        s.settimeout(5)
        socks.append([s, random.randint(1, 30)])
    for entry in list(socks):
        s, left = entry
        try:
            if random.random() < 0.01:
                s.sendall(b"GARBAGE / HTTP/9\r\n\r\n")
                read_answer(s)
                raise OSError("closed after garbage")
            t0 = time.monotonic()
            s.sendall(request(count))
            code = read_answer(s)
            count += 1
            took.append(time.monotonic() - t0)
            answers[code] = answers.get(code, 0) + 1
            entry[1] -= 1
            if code is None or entry[1] <= 0:
                raise OSError("done")
        except OSError:
            s.close()
            socks.remove(entry)
    if time.monotonic() - last >= 5:
        last = time.monotonic()
        rss, threads, fds = status(node.pid)
        took.sort()
        p50 = 1000 * took[len(took) // 2] if took else 0
        print(f"{last - start:6.0f}  {rss:6d}  {threads:7d}  {fds:11d}  "
              f"{os.path.getsize(log.name):9d}  {count:8d}  {p50:6.2f}  {dict(sorted(answers.items(), key=str))}",
              flush=True)
        took.clear()
for s, _ in socks:
    s.close()
node.terminate()
node.wait(timeout=10)
for t in toys:
    t.terminate()
    t.wait()
print("node exit", node.returncode)
