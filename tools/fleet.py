"""Starts the stand-ins and router daemons on loopback, for the demo, the failure runs and the measurements.

The processes end when the Fleet object is closed. The stand-ins also exit after a time limit.
"""

import base64
import contextlib
import hashlib
import http.client
import json
import os
import pathlib
import random
import shutil
import signal
import socket
import subprocess
import tempfile
import time

ROOT = pathlib.Path(__file__).resolve().parent.parent
HOST = "127.0.0.1"
INNER_KEY = "inner-key-of-this-loopback-fleet"
OPERATOR_KEY = "operator-key-of-this-loopback-fleet"
TICKET_KEY = "ticket-key-of-this-loopback-fleet"
ROUTER_PORTS = (10000, 32000)
CONFIGURATION_KEY = "borageslip/configuration"

_reserved_ports = set()


def free_port():
    """Returns a port that is free for TCP and UDP and that this process has not returned before.

    Ports of the ephemeral range (from 32768 on) are not used: an outgoing connection may occupy one at any time, also
    while a router is down between two starts."""
    while True:
        port = random.randrange(*ROUTER_PORTS)
        if port in _reserved_ports:
            continue
        with socket.socket(socket.AF_INET, socket.SOCK_STREAM) as tcp, socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as udp:
            with contextlib.suppress(OSError):
                tcp.bind((HOST, port))
                udp.bind((HOST, port))
                _reserved_ports.add(port)
                return port


def request(port, method, path, body=None, headers=None, timeout=10):
    """Sends one HTTP request; returns (status, headers, text)."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    try:
        data = json.dumps(body) if isinstance(body, (dict, list)) else body
        connection.request(method, path, data, headers or {})
        response = connection.getresponse()
        return response.status, dict(response.getheaders()), response.read().decode("utf-8", "replace")
    finally:
        connection.close()


def request_json(port, method, path, body=None, headers=None, timeout=10):
    status, _, text = request(port, method, path, body, headers, timeout)
    return status, json.loads(text) if text else None


class Process:
    def __init__(self, name, command, log_path):
        self.name = name
        self.command = command
        self.log_path = log_path
        self.log = open(log_path, "ab")
        self.child = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=self.log)

    def read_port(self):
        line = self.child.stdout.readline().decode()
        if not line.startswith("listening "):
            raise RuntimeError(f"{self.name} did not start; see {self.log_path}")
        return int(line.split()[1])

    def is_running(self):
        return self.child.poll() is None

    def signal(self, number):
        if self.is_running():
            self.child.send_signal(number)

    def wait(self, timeout):
        try:
            return self.child.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def kill(self):
        if self.is_running():
            self.child.send_signal(signal.SIGCONT)
            self.child.kill()
        self.child.wait()
        self.child.stdout.close()
        self.log.close()


class Router:
    """A router daemon. Each call of start() starts a new process with the same settings."""

    def __init__(self, fleet, index):
        self.fleet = fleet
        self.index = index
        self.id = f"entry-{index + 1}"
        self.domain = f"domain-{index % 3 + 1}"
        self.callers, self.inner, self.operators, self.gossip = (free_port() for _ in range(4))
        self.process = None

    def settings(self):
        address = lambda port: f"{HOST}:{port}"
        return {
            "id": self.id, "region": self.fleet.region, "failure_domain": self.domain,
            "callers": address(self.callers), "inner": address(self.inner),
            "operators": address(self.operators), "gossip": address(self.gossip),
            "store": address(self.fleet.platform_port),
            "seeds": [address(router.gossip) for router in self.fleet.routers[:3] if router is not self],
            "inner_keys": [INNER_KEY], "ticket_keys": [TICKET_KEY], "operator_keys": [OPERATOR_KEY],
            "log_level": self.fleet.log_level, **self.fleet.router_settings,
        }

    def start(self):
        path = self.fleet.folder / f"{self.id}.json"
        path.write_text(json.dumps(self.settings(), indent=4))
        self.process = Process(self.id, [str(self.fleet.bin / "borageslipd"), "--settings", str(path)], self.fleet.folder / f"{self.id}.log")

    def is_ready(self):
        try:
            return request(self.operators, "GET", "/readyz", timeout=2)[0] == 200
        except OSError:
            return False

    def status(self):
        return request_json(self.operators, "GET", "/operator/status", timeout=2)[1]

    def stop(self, timeout=60):
        """Sends SIGTERM, as an operator would; returns the exit code, or None after the timeout."""
        self.process.signal(signal.SIGTERM)
        return self.process.wait(timeout)

    def kill(self):
        self.process.kill()


class Fleet:
    def __init__(self, routers=3, engines=3, services=1, slots=8, build="release", region="local", token_ms=5,
                 prefill_us=50, cache_tokens=200000, log_level="info", engine_options=(), router_settings=None,
                 max_seconds=600, accounts=None, limits=None, rates=None, keep_logs=None, platform_options=()):
        self.bin = ROOT / "build" / build / "bin"
        self.folder = pathlib.Path(keep_logs) if keep_logs else pathlib.Path(tempfile.mkdtemp(prefix="borageslip-"))
        self.folder.mkdir(parents=True, exist_ok=True)
        self.keeps_logs = bool(keep_logs)
        self.region = region
        self.log_level = log_level
        self.slots = slots
        self.router_settings = router_settings or {}
        self.max_seconds = max_seconds
        self.accounts = accounts or ["account-1", "account-2"]
        self.rates = rates or {}
        self.limits = limits or {}
        self.engine_ports = {}
        self.service_ports = {}
        self.processes = {}
        self.platform_port = self._start_standin("platform", "standin-platform", platform_options)
        for index in range(engines):
            name = f"engine-{index + 1}"
            options = ["--engine", name, "--model", "assistant", "--slots", str(slots), "--token-ms", str(token_ms),
                       "--prefill-us-per-token", str(prefill_us), "--cache-tokens", str(cache_tokens), *engine_options]
            self.engine_ports[name] = self._start_standin(name, "standin-engine", options)
        for index in range(services):
            name = f"booking-{index + 1}"
            self.service_ports[name] = self._start_standin(name, "standin-service", ["--name", name])
        self.routers = []
        for index in range(routers):
            self.routers.append(Router(self, index))

    def _start_standin(self, name, program, options):
        command = [str(self.bin / program), "--max-seconds", str(self.max_seconds), *options]
        self.processes[name] = Process(name, command, self.folder / f"{name}.log")
        return self.processes[name].read_port()

    @staticmethod
    def account_key(account):
        return f"key-of-{account}"

    def configuration(self):
        engines = {name: {"address": f"{HOST}:{port}", "slots": self.slots, "region": self.region} for name, port in self.engine_ports.items()}
        accounts = {}
        for name in self.accounts:
            accounts[name] = {"key_sha256": [hashlib.sha256(self.account_key(name).encode()).hexdigest()]}
            if name in self.rates:
                accounts[name]["requests_per_second"] = self.rates[name]
        return {
            "models": {"assistant": {"engines": sorted(engines)}},
            "engines": engines,
            "services": {"booking": {
                "addresses": [f"{HOST}:{port}" for port in self.service_ports.values()],
                "routes": [{"method": "POST", "path_prefix": "/bookings", "idempotent": False},
                           {"method": "POST", "path_prefix": "/quotes", "idempotent": True}]}},
            "accounts": accounts,
            **({"limits": self.limits} if self.limits else {}),
        }

    def put_configuration(self, configuration=None):
        """Writes the configuration directly to the store, as the operators' client does."""
        status, value = self.store("GET", CONFIGURATION_KEY)
        index = value[0]["ModifyIndex"] if status == 200 else 0
        status, answer = self.store("PUT", f"{CONFIGURATION_KEY}?cas={index}", json.dumps(configuration or self.configuration()))
        if status != 200 or answer is not True:
            raise RuntimeError(f"the store rejected the configuration: status {status}, response {answer}")

    def store(self, method, key, body=None):
        return request_json(self.platform_port, method, f"/v1/kv/{key}", body)

    def start(self, wait=True):
        self.put_configuration()
        for router in self.routers:
            router.start()
        if wait:
            self.wait_ready()

    def wait_ready(self, timeout=30, routers=None):
        deadline = time.monotonic() + timeout
        for router in routers or self.routers:
            while not router.is_ready():
                if time.monotonic() > deadline or not router.process.is_running():
                    raise RuntimeError(f"{router.id} is not ready; see {router.process.log_path}")
                time.sleep(0.05)

    def control(self, name, **faults):
        port = self.engine_ports.get(name) or self.service_ports.get(name) or self.platform_port
        return request_json(port, "POST", "/control", faults)

    def records(self, name):
        port = self.engine_ports.get(name) or self.service_ports.get(name) or self.platform_port
        return request_json(port, "GET", "/records")[1]

    def close(self):
        for router in self.routers:
            if router.process:
                router.process.kill()
        for process in self.processes.values():
            process.kill()
        if not self.keeps_logs:
            shutil.rmtree(self.folder, ignore_errors=True)

    def __enter__(self):
        return self

    def __exit__(self, *_):
        self.close()


def chat_body(key, content, model="assistant", stream=True, max_tokens=20, **more):
    return {"model": model, "prompt_cache_key": key, "stream": stream, "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": content}], **more}


def chat(port, account, body, timeout=60, headers=None):
    """Sends a chat; returns a dictionary with status, engine, text, usage, error and whole.

    `whole` is true if a stream ended with [DONE], or if a non-streamed request succeeded."""
    connection = http.client.HTTPConnection(HOST, port, timeout=timeout)
    result = {"status": 0, "engine": None, "whole": False, "text": "", "usage": None, "error": None, "chunks": 0}
    try:
        connection.request("POST", "/v1/chat/completions", json.dumps(body),
                           {"Authorization": f"Bearer {Fleet.account_key(account)}", "Content-Type": "application/json", **(headers or {})})
        response = connection.getresponse()
        result["status"] = response.status
        result["engine"] = response.getheader("X-Engine")
        result["request"] = response.getheader("X-Request-Id")
        if response.status != 200 or not body.get("stream"):
            answer = json.loads(response.read())
            result["error" if response.status != 200 else "usage"] = answer if response.status != 200 else answer.get("usage")
            result["whole"] = response.status == 200
            if response.status == 200:
                result["text"] = answer["choices"][0]["message"]["content"]
            return result
        event = None
        for line in response:
            line = line.decode().rstrip("\r\n")
            if line.startswith("event: "):
                event = line[7:]
            elif line.startswith("data: ") and event == "error":
                result["error"] = json.loads(line[6:])
            elif line == "data: [DONE]":
                result["whole"] = True
            elif line.startswith("data: "):
                chunk = json.loads(line[6:])
                result["chunks"] += 1
                for choice in chunk.get("choices", []):
                    result["text"] += choice.get("delta", {}).get("content") or ""
                result["usage"] = chunk.get("usage") or result["usage"]
            elif not line:
                event = None
        return result
    finally:
        connection.close()
