"""Processing time of the decisions about a call, with a free slot and five instances."""

import time
from collections.abc import Callable
from random import Random

from bench.balance_sim import INSTANCES
from bench.measures import Measure
from ibisrack.calls.admission import Scheduler
from ibisrack.calls.balance import LoadView, choose_instance, eligible_instances
from ibisrack.calls.homes import HomeHistory
from ibisrack.calls.keys import Key, KeyStore
from ibisrack.calls.ranks import Ticket
from ibisrack.rules.ruleset import parse_rule_set
from ibisrack.testing.fixtures import CHAPA_MAYA_RULES

MEASURES = ("admission_us", "choice_us", "key_accept_us")
CALLS = 20_000


def _mean_us(step: Callable[[int], None]) -> float:
    start_s = time.perf_counter()
    for number in range(CALLS):
        step(number)
    return (time.perf_counter() - start_s) / CALLS * 1e6


def _admission_us() -> float:
    scheduler = Scheduler(1)
    service = parse_rule_set(CHAPA_MAYA_RULES).services["tienda"]
    scheduler.configure(service.rule.slots, service.ranks, 0.0)

    def step(number: int) -> None:
        now_s = number / 100
        ticket = Ticket("call", number, "lookup", now_s, now_s + 1)
        scheduler.submit(ticket, now_s)
        scheduler.finish(ticket, now_s + 0.005)

    return _mean_us(step)


def _choice_us() -> float:
    view, rng = LoadView(), Random(1)

    def step(number: int) -> None:
        now_s = number / 100
        candidates = eligible_instances(INSTANCES, view, frozenset(), now_s)
        choose_instance(candidates, "z", view, rng, now_s)

    return _mean_us(step)


def _key_accept_us() -> float:
    store, history = KeyStore(0), HomeHistory("desk-0")
    history.observe(tuple(instance.node_id for instance in INSTANCES), 0)

    def step(number: int) -> None:
        key = Key(f"key-{number}", 1_000_000 + number)
        since_ms = history.home_since_ms(key.text)
        store.accept(key, b"request", since_ms or 0, 1_000_000 + number)

    return _mean_us(step)


def run() -> list[Measure]:
    """Measures mean times; only the latency that a whole node adds has a bound."""
    values = (_admission_us(), _choice_us(), _key_accept_us())
    return [Measure(name, value, "us") for name, value in zip(MEASURES, values, strict=True)]
