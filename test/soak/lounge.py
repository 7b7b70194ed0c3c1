"""The deployment that the runs of `returns` play: VMs, upstreams, routes and load of six entry VMs in three domains."""

import math
from dataclasses import dataclass

DOMAINS = ("zrh-a", "gva-b", "bsl-c")
VMS_OF_DOMAIN = 2
# Requests a second of each domain's callers, and how many callers there are.
RATES = {"zrh-a": 34.0, "gva-b": 22.8, "bsl-c": 32.6}
CALLERS = {"zrh-a": 22, "gva-b": 15, "bsl-c": 21}
HOST = "lounge.example"
# Limits of a VM's process.
MEMORY_MB = 260
MAX_DESCRIPTORS = 4100
# A caller's time for one new connection, and for one question for addresses.
CONNECT_S = 1.0
RESOLVE_S = 1.0
# After the VMs are back, so long until service has to be back.
RECOVER_S = 12.0
LEAST_SERVED = 0.25
IDLE_LIMIT_S = 15.0
TENANTS = ("hule", "wono", "teri", "kabu", "siso")


@dataclass(frozen=True)
class Kind:
    """A kind of request: its route, its rate's weight and its sizes."""

    name: str
    type: str
    weight: float
    deadline_ms: int
    goal_ms: int
    timeout_ms: int
    attempts: int
    rank: int
    # Tokens of the prompt and events of the response, on average; body of the request in bytes.
    prompt: int = 0
    events: float = 0.0
    body: int = 0
    resumes: bool = False

    @property
    def path(self):
        return f"/{self.name}/"

    @property
    def may_repeat(self):
        return self.type == "idempotent" or self.resumes


KINDS = (
    Kind("brief", "stream", 17.6, 15000, 800, 15000, 1, 0, 6610, 76.4, 12000),
    Kind("reply", "stream", 22.8, 15000, 500, 15000, 2, 1, 628, 58.3, 830, True),
    Kind("classify", "stream", 24.7, 3000, 500, 3000, 1, 2, 1800, 4.5, 2400),
    Kind("charge", "nonidempotent", 16.3, 1500, 100, 800, 1, 2, body=600),
    Kind("read", "idempotent", 8.0, 1500, 100, 800, 2, 2),
)


def make_rules(version):
    """The configuration, as the operator writes it."""
    routes = []
    for kind in KINDS:
        route = {"name": kind.name, "host": HOST, "prefix": kind.path, "type": kind.type, "public": False,
                 "timeout_ms": kind.timeout_ms, "goal_ms": kind.goal_ms, "prio": kind.rank,
                 "attempts": kind.attempts, "service": "lm" if kind.type == "stream" else "core"}
        if kind.type == "stream":
            route |= {"sticky": True, "can_resume": kind.resumes, "itl_target_ms": 500}
        routes.append(route)
    routes.append(routes[-1] | {"name": f"v{version}", "prefix": f"/v{version}/"})
    tenants = [{"name": name, "api_keys": [f"key-{name}"], "prio": 1, "unit": "token", "raw_tokens": 200,
                "rate_per_s": 200000, "burst": 400000} for name in TENANTS]
    engine = {"slots": 10, "kv_capacity": 708253, "kv_token_bytes": 163840, "link_mbps": 180000.0,
              "stride": 5, "models": [{"name": "m"}]}
    services = [{"name": "lm", "health_path": "/healthz", "max_conns": 360, "protocol": "h1", "tls": False,
                 "backend": engine},
                {"name": "core", "health_path": "/healthz", "max_conns": 96, "protocol": "h1", "tls": False}]
    limits = {"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 3000,
              "idle_timeout_ms": int(IDLE_LIMIT_S * 1000)}
    return {"version": version, "routes": routes, "services": services, "limits": limits, "tenants": tenants}


def draw_count(draw, mean):
    """A skewed size with the given mean, at least one."""
    return max(1, round(mean * draw.lognormvariate(-0.72, 1.2)))


def wave(domain_index, at):
    return 1.0 + 0.15 * math.sin(2 * math.pi * (at / 11.0 + 0.2 * domain_index))
