"""Two keepers of one quota, after a host has started with stale seeds."""

import asyncio
import itertools
import json
import pathlib
import signal

import deployment

KEY = "key-of-t"
RATE_PER_S = 20.0
BURST = 10.0
WINDOW_S = 5
OVERAGE = 0.1
SLACK = 20
SEED_LAG_S = 3
BOUNDS = {
    "seedLagS": SEED_LAG_S,
    "budgetWindowS": 10,
    "budgetRatio": 0.2,
    "budgetBurst": 56,
    "graceS": 6,
    "ttl_max_s": 5,
    "quotaWindowS": WINDOW_S,
    "quotaOverage": OVERAGE,
    "quotaSlack": SLACK,
}
CONTRACTS = (
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "scatter",
    "tenants",
    "quota",
    "platform",
)
MAIN_HOSTS = ("h1", "h2")
NEW_HOST = "h3"
SETTLE_S = 3.0
# Time from the start of the new host to the requests that are judged.
WAIT_S = 74.0
TRAFFIC_S = 15.0
INTERVAL_S = 0.02
DEADLINE_MS = 800


def configuration() -> dict[str, object]:
    """Returns a configuration with one tenant."""
    return {
        "version": 3,
        "routes": [
            deployment.route("get", "/get/", service="one", timeoutMs=1000)
        ],
        "services": [{"name": "one", "healthPath": "/h", "maxConnections": 64}],
        "tenants": [
            {
                "name": "t",
                "apiKeys": [KEY],
                "ratePerS": RATE_PER_S,
                "burst": BURST,
            }
        ],
    }


async def start_new_host(
    site: deployment.Deployment, seeds: list[str], record: list[str]
) -> None:
    """Starts a host; its seeds are stale for `SEED_LAG_S` if asked to."""
    first = seeds
    if deployment.has_trouble():
        # Addresses of machines that are gone: nothing listens there.
        first = [
            deployment.control_endpoint(deployment.free_ports())
            for _ in range(3)
        ]
    host = site.make_host(NEW_HOST, deployment.free_ports(), first)
    await host.start()
    await host.wait_ready()
    record.append(f"{NEW_HOST} started with the seeds {first}")
    await asyncio.sleep(SEED_LAG_S)
    text = host.settings_path.read_text(encoding="utf-8")
    host.settings_path.write_text(
        text.replace(json.dumps(first), json.dumps(seeds)), encoding="utf-8"
    )
    host.signal(signal.SIGHUP)
    record.append(f"its settings file names the seeds {seeds} now; SIGHUP sent")


async def send_traffic(
    site: deployment.Deployment,
) -> list[deployment.Answer]:
    """Sends more than the quota, through the addresses that hosts name."""
    pending: list[asyncio.Task[deployment.Answer]] = []
    directories = itertools.cycle(
        host.ports["directory"] for host in site.hosts.values()
    )
    until_ms = deployment.now_ms() + TRAFFIC_S * 1000.0
    for number in itertools.count():
        if deployment.now_ms() >= until_ms:
            break
        ports = await deployment.locate(next(directories))
        if ports:
            pending.append(
                asyncio.create_task(
                    deployment.call(
                        ports[number % len(ports)],
                        "/get/x",
                        f"r{number}",
                        DEADLINE_MS,
                        api_key=KEY,
                    )
                )
            )
        await asyncio.sleep(INTERVAL_S)
    return list(await asyncio.gather(*pending))


def most_in_window(
    answers: list[deployment.Answer], arrivals: list[deployment.Arrival]
) -> int:
    """Returns the most requests that were sent and ran in one window."""
    sent_ms = {each.request_id: each.sent_ms for each in answers}
    first_ms: dict[str, float] = {}
    for each in arrivals:
        if each.has_run:
            first_ms.setdefault(each.request_id, each.at_ms)
    return max(
        sum(
            start_ms <= sent_ms[request_id]
            and at_ms <= start_ms + WINDOW_S * 1000.0
            for request_id, at_ms in first_ms.items()
        )
        for start_ms in sent_ms.values()
    )


async def case(folder: pathlib.Path, record: list[str]) -> bool:
    """Carries out the case; returns whether the rule was broken."""
    site = deployment.Deployment(folder, BOUNDS, CONTRACTS)
    try:
        await site.start_store(configuration())
        for name in ("b1", "b2", "b3"):
            await site.add_backend(name, "one", 4, 24, 5.0)
        ports = {name: deployment.free_ports() for name in MAIN_HOSTS}
        seeds = [*map(deployment.control_endpoint, ports.values())]
        for name in MAIN_HOSTS:
            await site.make_host(name, ports[name], seeds).start()
        for host in site.hosts.values():
            await host.wait_ready()
        await asyncio.sleep(SETTLE_S)
        await start_new_host(site, seeds, record)
        await asyncio.sleep(WAIT_S - SEED_LAG_S)
        answers = await send_traffic(site)
        host_lists = [
            f"{host.name}: {line}"
            for host in site.hosts.values()
            for line in host.json_log_lines()
            if line.get("message") in ("hosts listed", "quota shares held")
        ]
    finally:
        await site.stop()
    statuses: dict[int, int] = {}
    for answer in answers:
        statuses[answer.status] = statuses.get(answer.status, 0) + 1
    record += host_lists
    record += [
        f"{each.request_id} sent {each.sent_ms:.0f} ended {each.ended_ms:.0f}"
        f" status {each.status}"
        for each in answers
    ]
    record += [
        f"{each.upstream} got {each.request_id} at {each.at_ms:.0f},"
        f" tenant {each.tenant}, ran {each.has_run}"
        for each in site.arrivals
    ]
    if statuses.get(200, 0) < RATE_PER_S:
        raise deployment.CannotRunError(f"hardly any was served: {statuses}")
    limit = (RATE_PER_S * WINDOW_S + BURST) * (1.0 + OVERAGE) + SLACK
    most = most_in_window(answers, site.arrivals)
    record.append(f"answers by status: {statuses}")
    record.append(f"most in {WINDOW_S} s: {most}; the rule allows {limit:.0f}")
    return most > limit


if __name__ == "__main__":
    deployment.run_case(pathlib.Path(__file__).parent, case)
