"""A fleet of real processes on loopback for the failure tests.

Starts the processes of the sample deployment `songhan` by tools/fleet and keeps
their ids, so that a test can kill, freeze and restart single ones.
"""

import http.client
import json
import os
import pathlib
import re
import shutil
import signal
import subprocess
import time

ROOT = pathlib.Path(__file__).resolve().parents[2]
BUILD = ROOT / os.environ.get("PSP_BUILD", "build") / "src"
DATA = ROOT / "data" / "process-test"
CONFIG = DATA / "config"
SAMPLES = ROOT / "config" / "songhan"
ENDPOINT_PORT = 8500
READY_TIMEOUT_S = 60
REQUEST_TIMEOUT_S = 30


class Answer:
    """An HTTP answer: status, headers and body."""

    def __init__(self, status, headers, body):
        self.status = status
        self.headers = headers
        self.body = body

    def json(self):
        return json.loads(self.body)

    def text(self):
        """The text of a streamed chat answer; raises when it isn't whole."""
        if "data: [DONE]" not in self.body:
            raise AssertionError("the stream has no end mark: " + self.body[-300:])
        pieces = []
        for line in self.body.splitlines():
            if line.startswith("data: {"):
                for choice in json.loads(line[6:]).get("choices", []):
                    pieces.append(choice["delta"].get("content", ""))
        return "".join(pieces)


class Fleet:
    """All processes, by name."""

    def start(self):
        shutil.rmtree(DATA, ignore_errors=True)
        self._make_settings()
        self._script("start")
        self.pids = {f.stem: int(f.read_text()) for f in DATA.glob("*.pid")}
        self.ports = {}
        for settings in CONFIG.glob("*-[0-9].yaml"):
            found = re.search(r"caller_address: [\d.]+:(\d+)", settings.read_text())
            self.ports[settings.stem] = int(found.group(1))
        self.until(lambda: self.ctl("apply", str(CONFIG / "control.yaml")) == 0)
        self.keys = {}
        for organisation in ("shower-fitters", "planning-office"):
            self.give_key(organisation)
        self.until(lambda: all(self.ready(name) for name in self.ports))
        self.until(lambda: self.endpoint_count() == 15)

    @staticmethod
    def _make_settings():
        """The sample settings on ports of their own, with logs in DATA."""
        CONFIG.mkdir(parents=True)
        for sample in SAMPLES.iterdir():
            text = sample.read_text()
            text = re.sub(r"127\.0\.0\.1:74", "127.0.0.1:84", text)
            text = text.replace("../../data/songhan/", "../")
            (CONFIG / sample.name).write_text(text)

    def stop(self):
        for pid in self.pids.values():
            try:
                os.kill(pid, signal.SIGCONT)
            except ProcessLookupError:
                pass
        self._script("stop")

    def _script(self, action):
        environment = dict(os.environ, PSP_CONFIG=str(CONFIG), PSP_DATA=str(DATA),
                           PSP_ENDPOINT_PORT=str(ENDPOINT_PORT))
        subprocess.run([ROOT / "tools" / "fleet", action, "songhan"], cwd=ROOT,
                       env=environment, check=True)

    def kill(self, name, number=signal.SIGKILL):
        os.kill(self.pids[name], number)

    def is_running(self, name):
        """False once the process has ended, whoever has to reap it."""
        try:
            os.waitpid(self.pids[name], os.WNOHANG)
        except ChildProcessError:
            pass
        try:
            stat = pathlib.Path(f"/proc/{self.pids[name]}/stat").read_text()
        except OSError:
            return False
        return stat.rsplit(")", 1)[1].split()[0] not in ("Z", "X")

    def restart(self, name):
        """Starts an entry instance or a ledger again after it was killed."""
        self.until(lambda: not self.is_running(name))
        program = "psp-ledger" if name.endswith("ledger") else "psp-entry"
        with open(DATA / f"{name}.log", "a") as log:
            process = subprocess.Popen(
                [BUILD / program, f"--settings={CONFIG / (name + '.yaml')}"],
                stdout=log, stderr=log, stdin=subprocess.DEVNULL)
        self.pids[name] = process.pid
        (DATA / f"{name}.pid").write_text(str(process.pid))

    def ctl_output(self, *arguments, targets=None):
        if targets is None:
            targets = ["127.0.0.1:%d" % (port + 60) for port in sorted(self.ports.values())]
        return subprocess.run(
            [BUILD / "pspctl", "--target=" + ",".join(targets), "--operator=test",
             f"--token_file={CONFIG / 'operator.token'}", "--timeout_ms=6000", *arguments],
            cwd=ROOT, capture_output=True, text=True)

    def ctl(self, *arguments, targets=None):
        return self.ctl_output(*arguments, targets=targets).returncode

    def give_key(self, organisation):
        file = DATA / f"{organisation}.key"
        file.unlink(missing_ok=True)
        self.until(lambda: self.ctl("key", "give", organisation, f"--key_file={file}") == 0)
        self.keys[organisation] = file.read_text().strip()
        for name in self.ports:
            self.until(lambda: self.knows_key(name, organisation))

    def knows_key(self, name, organisation):
        try:
            return self.request(name, "POST", "/v1/programs", organisation).status == 201
        except OSError:
            return False

    def ready(self, name):
        try:
            return self.request(name, "GET", "/readyz", key=None).status == 200
        except OSError:
            return False

    def endpoint_count(self):
        result = self.ctl_output("endpoint", "list", "--output=json")
        if result.returncode != 0:
            return 0
        return result.stdout.count('"address"')

    def connect(self, name):
        return http.client.HTTPConnection("127.0.0.1", self.ports[name], timeout=REQUEST_TIMEOUT_S)

    def request(self, name, method, path, key="shower-fitters", headers=None, body=None):
        connection = self.connect(name)
        all_headers = dict(headers or {})
        if key is not None:
            all_headers["Authorization"] = "Bearer " + self.keys.get(key, key)
        connection.request(method, path, body, all_headers)
        response = connection.getresponse()
        answer = Answer(response.status, response.headers, response.read().decode())
        connection.close()
        return answer

    def create(self, name="haichau-1", key="shower-fitters"):
        return self.request(name, "POST", "/v1/programs", key).json()["program"]

    def chat(self, name, program, turn, tokens=8, key="shower-fitters"):
        body = json.dumps({"model": "screen-template", "stream": True, "max_tokens": tokens,
                           "messages": [{"role": "user", "content": f"part {turn}"}]})
        headers = {"Program-Id": program, "Program-Turn": str(turn)}
        return self.request(name, "POST", "/v1/chat/completions", key, headers, body)

    def chat_patiently(self, name, program, turn, limit_s=30):
        """Asks for the same turn until it is answered whole."""
        deadline = time.monotonic() + limit_s
        while True:
            try:
                answer = self.chat(name, program, turn)
                if answer.status == 200:
                    return answer.text()
                found = answer.body
            except (OSError, http.client.HTTPException, AssertionError) as fault:
                found = repr(fault)
            if time.monotonic() > deadline:
                raise AssertionError(f"turn {turn} was not answered: {found}")
            time.sleep(0.2)

    def order(self, name, program, turn, key="shower-fitters"):
        headers = {"Program-Id": program, "Program-Turn": str(turn),
                   "Idempotency-Key": f"order-{turn}"}
        return self.request(name, "POST", "/v1/services/glass-order", key, headers, "{}")

    def runs(self):
        """What the stand-in endpoints have run, from their own files."""
        for file in DATA.glob("*.runs.jsonl"):
            for line in file.read_text().splitlines():
                yield json.loads(line)

    def until(self, condition, limit_s=READY_TIMEOUT_S):
        deadline = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > deadline:
                raise AssertionError("a condition did not come true in time")
            time.sleep(0.1)
