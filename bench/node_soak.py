#!/usr/bin/env python3
"""Soak test of a whole node on loopback with two example workers.

Starts two toy workers and the node, with the example configuration and quotas raised so that
requests are admitted. For SECONDS (60 by default) it sends requests over CONNECTIONS (16 by
default) connections that are closed and replaced. Each request has a new Request-Id and key and a
random tenant and class; one in a hundred is malformed. Every five seconds it prints the node's RSS,
threads, descriptors, log size, number of requests, median response time and response codes.

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

build_folder = sys.argv[1]
seconds = float(sys.argv[2]) if len(sys.argv) > 2 else 60
connection_limit = int(sys.argv[3]) if len(sys.argv) > 3 else 16
script_folder = os.path.dirname(os.path.abspath(__file__))


def free_port():
    """Returns a loopback port that is free at the moment."""
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        return listener.getsockname()[1]


config = json.load(open(os.path.join(script_folder, "..", "examples", "millethollow.json")))
http_port, admin_port, gearman_port = free_port(), free_port(), free_port()
worker_ports = [free_port(), free_port()]
config["listen"] = f"127.0.0.1:{http_port}"
config["admin"] = f"127.0.0.1:{admin_port}"
config["gearman"]["listen"] = f"127.0.0.1:{gearman_port}"
config["log_level"] = "info"
for server, port in zip(config["known"]["servers"], worker_ports):
    server["addr"] = f"127.0.0.1:{port}"
for tenant in config["settings"]["tenants"]:
    tenant["quota_rps"] = 2000
tenants = [tenant["name"] for tenant in config["settings"]["tenants"]]
classes = [job_class["name"] for job_class in config["settings"]["classes"]]

folder = tempfile.mkdtemp()
config_path = os.path.join(folder, "node.json")
json.dump(config, open(config_path, "w"))
log = open(os.path.join(folder, "node.log"), "w")
worker_processes = [
    subprocess.Popen([os.path.join(build_folder, "toy_worker"), f"127.0.0.1:{port}", "2"],
                     stdout=subprocess.DEVNULL, stderr=subprocess.DEVNULL)
    for port in worker_ports]
time.sleep(0.3)
node = subprocess.Popen([os.path.join(build_folder, "millethollow"), "--config", config_path],
                        stderr=log)
time.sleep(0.5)


def process_resources(pid):
    """Returns RSS in kB, threads and open descriptors of a process."""
    fields = {}
    for line in open(f"/proc/{pid}/status"):
        key, _, value = line.partition(":")
        fields[key] = value.split()
    return int(fields["VmRSS"][0]), int(fields["Threads"][0]), len(os.listdir(f"/proc/{pid}/fd"))


def build_request(number):
    """Returns the bytes of a random request whose Request-Id holds `number`."""
    tenant, class_name = random.choice(tenants), random.choice(classes)
    body = b"x" * random.randint(0, 512)
    head = (f"POST /api HTTP/1.1\r\nHost: t\r\nRequest-Id: s{number:012x}\r\n"
            f"Request-Class: {class_name}\r\n"
            f"Tenant: {tenant}\r\nCookie: k={random.getrandbits(48):012x}\r\n"
            f"Request-Timeout-Ms: 2000\r\nIdempotency-Key: {random.getrandbits(64):016x}\r\n"
            f"Content-Length: {len(body)}\r\n\r\n")
    return head.encode() + body


def read_response(connection):
    """Reads one response; returns its status code, or None if the connection was closed first."""
    data = b""
    while b"\r\n\r\n" not in data:
        chunk = connection.recv(65536)
        if not chunk:
            return None
        data += chunk
    head, _, rest = data.partition(b"\r\n\r\n")
    length = 0
    for line in head.split(b"\r\n")[1:]:
        if line.lower().startswith(b"content-length:"):
            length = int(line.split(b":")[1])
    while len(rest) < length:
        chunk = connection.recv(65536)
        if not chunk:
            break
        rest += chunk
    return int(head.split(b" ")[1])


random.seed(7)
request_count, responses_by_code, response_times_s = 0, {}, []
start = last_report = time.monotonic()
print("second  rss_kB  threads  descriptors  log_bytes  requests  p50_ms  answers")
connections = []
while time.monotonic() - start < seconds:
    while len(connections) < connection_limit:
        connection = socket.create_connection(("127.0.0.1", http_port))
        connection.settimeout(5)
        connections.append([connection, random.randint(1, 30)])
    for entry in list(connections):
        connection, _ = entry
        try:
            if random.random() < 0.01:
                connection.sendall(b"GARBAGE / HTTP/9\r\n\r\n")
                read_response(connection)
                raise OSError("closed after garbage")
            sent_at = time.monotonic()
            connection.sendall(build_request(request_count))
            code = read_response(connection)
            request_count += 1
            response_times_s.append(time.monotonic() - sent_at)
            responses_by_code[code] = responses_by_code.get(code, 0) + 1
            entry[1] -= 1
            if code is None or entry[1] <= 0:
                raise OSError("done")
        except OSError:
            connection.close()
            connections.remove(entry)
    if time.monotonic() - last_report >= 5:
        last_report = time.monotonic()
        rss, threads, descriptors = process_resources(node.pid)
        response_times_s.sort()
        p50_ms = 1000 * response_times_s[len(response_times_s) // 2] if response_times_s else 0
        print(f"{last_report - start:6.0f}  {rss:6d}  {threads:7d}  {descriptors:11d}  "
              f"{os.path.getsize(log.name):9d}  {request_count:8d}  {p50_ms:6.2f}  "
              f"{dict(sorted(responses_by_code.items(), key=str))}",
              flush=True)
        response_times_s.clear()
for connection, _ in connections:
    connection.close()
node.terminate()
node.wait(timeout=10)
for process in worker_processes:
    process.terminate()
    process.wait()
print("node exit", node.returncode)
