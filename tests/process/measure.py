"""Measures the running fleet of processes; prints figures and asserts nothing.

    python3 tests/process/measure.py
"""

import http.client
import json
import os
import shutil
import statistics
import time
import urllib.request

from fleet import DATA, ENDPOINT_PORT, CONFIG, Fleet

FLEET = Fleet()
CALLS = 300
LEDGER_PORTS = {"haichau-ledger": 8460, "sontra-ledger": 8470, "lienchieu-ledger": 8480}


def percentile(values, share):
    return sorted(values)[min(len(values) - 1, int(len(values) * share))]


def show(name, values_s):
    values = [v * 1000 for v in values_s]
    print(f"{name}: n={len(values)} p50={percentile(values, 0.5):.2f} ms "
          f"p99={percentile(values, 0.99):.2f} ms", flush=True)


def timed(action):
    begin = time.monotonic()
    action()
    return time.monotonic() - begin


def body(turn):
    return json.dumps({"model": "screen-template", "stream": True, "max_tokens": 1,
                       "messages": [{"role": "user", "content": f"part {turn}"}]})


def exchange(port, headers, turn):
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=30)
    connection.request("POST", "/v1/chat/completions", body(turn), headers)
    text = connection.getresponse().read().decode()
    connection.close()
    assert "[DONE]" in text, text


def path_latency():
    direct, routed, away = [], [], []
    key = {"Authorization": "Bearer " + FLEET.keys["shower-fitters"]}
    programs = {name: FLEET.create("haichau-1") for name in ("haichau-1", "lienchieu-1")}
    for turn in range(1, 61):
        head = {"Program-Id": f"direct-{turn}", "Program-Turn": "1", "Call-Id": f"direct-{turn}"}
        direct.append(timed(lambda: exchange(ENDPOINT_PORT, head, turn)))
        for name, values in (("haichau-1", routed), ("lienchieu-1", away)):
            headers = dict(key, **{"Program-Id": programs[name], "Program-Turn": str(turn)})
            values.append(timed(lambda: exchange(FLEET.ports[name], headers, turn)))
        time.sleep(0.05)
    show("call straight to the stand-in, 1 token", direct)
    show("the same through an instance of the home", routed)
    show("the same through an instance elsewhere", away)


def owner_death():
    worst = []
    for name in ("haichau-1", "haichau-2", "haichau-3"):
        programs = [FLEET.create(name) for _ in range(6)]
        for program in programs:
            FLEET.chat_patiently("sontra-1", program, 1)
        FLEET.kill(name)
        begin = time.monotonic()
        times = []
        for program in programs:
            FLEET.chat_patiently("sontra-1", program, 2)
            times.append(time.monotonic() - begin)
        worst.append(max(times))
        FLEET.restart(name)
        FLEET.until(lambda: FLEET.ready(name))
        time.sleep(2)
    print("SIGKILL of an owner to the last of 6 programs' next turn: " +
          ", ".join(f"{t:.2f} s" for t in worst), flush=True)


def dump(port):
    result = FLEET.ctl_output("dump", targets=[f"127.0.0.1:{port}"])
    return json.loads(result.stdout) if result.returncode == 0 else {}


def leader_death():
    times = []
    for _ in range(3):
        leader = [n for n, p in LEDGER_PORTS.items() if dump(p).get("leader")][0]
        FLEET.kill(leader)
        times.append(timed(lambda: FLEET.give_key("planning-office")))
        FLEET.restart(leader)
        time.sleep(3)
    print("SIGKILL of the log's leader to the next accepted change: " +
          ", ".join(f"{t:.2f} s" for t in times), flush=True)


def wiped_disk():
    port = LEDGER_PORTS["sontra-ledger"]
    FLEET.kill("sontra-ledger")
    state = DATA / "sontra-ledger" / "state"
    FLEET.until(lambda: not FLEET.is_running("sontra-ledger"))
    shutil.rmtree(state)
    state.mkdir()
    def recover():
        FLEET.restart("sontra-ledger")
        FLEET.until(lambda: dump(port).get("has_vote"))
    print(f"start with a wiped disk to its vote in the log: {timed(recover):.2f} s", flush=True)


def configuration_spread():
    text = (CONFIG / "control.yaml").read_text().replace("number: 1", "number: 2", 1)
    file = DATA / "two.yaml"
    file.write_text(text)
    ports = [p + 60 for p in FLEET.ports.values()]
    begin = time.monotonic()
    FLEET.ctl("apply", str(file))
    FLEET.until(lambda: all(dump(p).get("configuration") == 2 for p in ports))
    print(f"apply to in force at all 7 instances: {time.monotonic() - begin:.2f} s", flush=True)


def peer_bytes(port):
    call = {"jsonrpc": "2.0", "id": 1, "method": "metrics", "params": {
        "operator": "measure", "request_id": "m",
        "token": (CONFIG / "operator.token").read_text().strip()}}
    request = urllib.request.Request(f"http://127.0.0.1:{port}/", json.dumps(call).encode(),
                                     {"Content-Type": "application/json"})
    text = urllib.request.urlopen(request, timeout=5).read().decode()
    marker = "psp_peer_bytes_sent_total "
    return int(text[text.rindex(marker) + len(marker):].split("\\n")[0].split('"')[0])


def idle_cost():
    names = sorted(FLEET.ports) + sorted(LEDGER_PORTS)
    def sample(name):
        fields = open(f"/proc/{FLEET.pids[name]}/stat").read().rsplit(")", 1)[1].split()
        rss = int(open(f"/proc/{FLEET.pids[name]}/statm").read().split()[1]) * 4096
        ticks = int(fields[11]) + int(fields[12])
        sent = peer_bytes(FLEET.ports[name] + 60) if name in FLEET.ports else 0
        return ticks, rss, sent
    first = {n: sample(n) for n in names}
    time.sleep(10)
    for name in names:
        ticks, rss, sent = sample(name)
        share = (ticks - first[name][0]) / os.sysconf("SC_CLK_TCK") / 10 * 100
        print(f"idle {name}: {share:.2f}% of a core, {rss / 1e6:.1f} MB, "
              f"{(sent - first[name][2]) / 10 / 1000:.2f} KB/s to peers", flush=True)


if __name__ == "__main__":
    FLEET.start()
    try:
        for step in (idle_cost, path_latency, configuration_spread, leader_death, owner_death, wiped_disk):
            try:
                step()
            except Exception as fault:  # One failed step must not hide the others.
                print(f"{step.__name__}: NOT MEASURED: {fault!r}", flush=True)
    finally:
        FLEET.stop()
