"""LOST: the leader of the job stores is to be emptied while a follower is killed. The leader hands
its leadership to the killed follower, never takes it back, and serves nobody from then on."""

import sys
import time
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "standins"))
import harness  # noqa: E402
from harness import BOUNDS, Job  # noqa: E402

RETURN_S = 1.0


def play(run):
    gateways, stores, prefix = harness.small_deployment(run)
    first = Job(run, prefix, 8)
    first.submit_until_accepted(15)
    first.wait_done(20)
    time.sleep(BOUNDS["contactMs"] / 1_000)

    # A planned retirement of the leader, and a kill of one follower at the same moment.
    leading = harness.leader(stores)
    others = [name for name in harness.voters(stores) if name != leading.name]
    run.record("state", f"leader {leading.name}, other voters {others}")
    killed = run.machines[others[-1]]
    if run.trouble:
        killed.kill()
    run.store.change("retirements", leading.name, spec={"durationS": 8.7})
    run.record("operator", f"retirement of {leading.name} acknowledged")
    if run.trouble:
        time.sleep(RETURN_S)
        killed.start()

    # Both are back or done; traffic goes on for longer than recoveryS, then finishS passes.
    second = Job(run, prefix, 8)
    accepted = False
    end = time.monotonic() + BOUNDS["catchUpS"] + BOUNDS["recoveryS"]
    removed = False
    while time.monotonic() < end:
        status = (run.store.get("retirements", leading.name)["status"] or {}).get("state")
        if status == "completed" and not removed:
            removed = True
            run.record("operator", f"{leading.name} is retired and removed")
            leading.kill()
        for gateway in gateways:
            accepted = accepted or second.submit(gateway) == 202
            first.read(gateway)
        time.sleep(0.5)
    run.record("state", f"second job accepted: {accepted}")
    time.sleep(BOUNDS["finishS"])

    return harness.unread_at_end(run, [first] + ([second] if accepted else []))


harness.run_case(FOLDER, play)
