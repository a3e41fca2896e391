"""A model of entries that limit tenants, with the real decision modules.

Entries decide, lose datagrams, are killed, frozen and cut off from each other;
each learns of that at another moment. Time is a number; nothing is awaited.
"""

from copperyard.allowances.decisions import (
    AllowanceDecider,
    Granted,
    Referred,
    Refused,
    Undecided,
)
from copperyard.allowances.known_entries import EntrySets, KnownEntries
from copperyard.allowances.limits import find_limit
from copperyard.entry_settings import QuotaBounds
from copperyard.tenants.tenant_table import Tenant

BOUNDS = QuotaBounds(window_s=5.0, overage=0.1, slack=20.0)
STEP_S = 0.02
FORGET_AFTER_S = 30.0
CONFIG_APPLY_S = 2.5


class ModelEntry:
    """An entry: its decisions, what it hears of the others, its faults."""

    def __init__(self, model, ip, now, seed_ips=frozenset()):
        self.model = model
        self.ip = ip
        self.known = KnownEntries(ip, now)
        self.decider = AllowanceDecider(self.known)
        self.seed_ips = seed_ips
        self.is_killed = False
        self.frozen_until = 0.0
        self.group = 0
        self.heard_at = {}
        self.silent_after = {}
        self.regained_at = {}
        self.tenants = dict(model.tenants)
        self.resumes = False

    def runs(self, now):
        """Return whether it runs now."""
        return not self.is_killed and now >= self.frozen_until

    def look(self, now):
        """Update what it knows of the others."""
        random = self.model.random
        if self.resumes:
            # It does not take the others for silent because of its own pause.
            self.resumes = False
            self.heard_at = {
                ip: max(at, now - 0.4) for ip, at in self.heard_at.items()
            }
        for other in self.model.entries.values():
            if other is self or not self.model.are_connected(self, other, now):
                self.regained_at.pop(other.ip, None)
                continue
            is_heard = now - self.heard_at.get(other.ip, -99) < 0.7
            if not is_heard:
                at = self.regained_at.setdefault(
                    other.ip, now + random.uniform(0, 0.5)
                )
                if now < at:
                    continue
            self.heard_at[other.ip] = now
            self.silent_after[other.ip] = random.uniform(0.7, 1.5)
        heard = frozenset(
            ip
            for ip, at in self.heard_at.items()
            if now - at < self.silent_after[ip]
        )
        silent = frozenset(
            ip
            for ip, at in self.heard_at.items()
            if ip not in heard and now - at < FORGET_AFTER_S
        )
        sets = EntrySets(heard | {self.ip}, heard, silent)
        self.known.update(sets, now, self.seed_ips)
        self.decider.notice_run(now)


class Model:
    """Some entries and tenants.

    :param random: draws delays and losses.
    :param entry_count: number of entries.
    :param tenants: the tenants.
    :param loss: share of the datagrams that are lost.
    """

    def __init__(self, random, entry_count, tenants, loss=0.0):
        self.random = random
        self.loss = loss
        self.now = 100.0
        self.tenants = {tenant.name: tenant for tenant in tenants}
        self.entries = {}
        # Times from which a tenant's limit counts.
        self.limits = {
            tenant.name: [(0.0, self.bound(tenant))] for tenant in tenants
        }
        self.changes = []
        self.runs = {tenant.name: [] for tenant in tenants}
        self.decisions = {tenant.name: [] for tenant in tenants}
        self.number = 0
        for number in range(entry_count):
            self.start(f'10.0.{number // 250}.{number % 250 + 1}')
        for entry in self.entries.values():
            others = [ip for ip in self.entries if ip != entry.ip]
            entry.heard_at = dict.fromkeys(others, self.now)
            entry.silent_after = dict.fromkeys(others, 1.0)

    @staticmethod
    def bound(tenant):
        """Return how many requests of a tenant may run in a window."""
        allowed = tenant.rate_per_s * BOUNDS.window_s + tenant.burst
        return allowed * (1 + BOUNDS.overage) + BOUNDS.slack

    def start(self, ip):
        """Start an entry, which knows two others by its settings."""
        seeds = frozenset(list(self.entries)[:2])
        self.entries[ip] = ModelEntry(self, ip, self.now, seeds)
        return self.entries[ip]

    def restart_killed(self):
        """Start all killed entries anew, where they were.

        An entry learns from others how many there are; it is not started
        where all those that knew have been killed.
        """
        groups = {
            entry.group
            for entry in self.entries.values()
            if entry.runs(self.now)
        }
        for entry in tuple(self.entries.values()):
            if entry.is_killed and entry.group in (groups or {entry.group}):
                self.entries.pop(entry.ip)
                self.start(entry.ip).group = entry.group

    def freeze(self, entry, seconds):
        """Freeze an entry for some time."""
        entry.frozen_until = self.now + seconds
        entry.resumes = True

    def divide(self, count):
        """Cut the entries into groups at random; one group heals the cut."""
        for entry in self.entries.values():
            entry.group = self.random.randrange(count)

    def are_connected(self, one, other, now):
        """Return whether datagrams between two entries arrive."""
        return one.runs(now) and other.runs(now) and one.group == other.group

    def change(self, tenant):
        """Change the limit of a tenant; entries learn it within 2.5 s."""
        self.limits[tenant.name].append((self.now, self.bound(tenant)))
        for ip in self.entries:
            at = self.now + self.random.uniform(0, CONFIG_APPLY_S)
            earlier = [it[0] for it in self.changes if it[1] == ip]
            self.changes.append((max([at, *earlier]), ip, tenant))
        self.tenants[tenant.name] = tenant

    def home(self, name):
        """Return the entry that the entry of the lowest address asks."""
        entry = next(it for it in self.entries.values() if it.runs(self.now))
        return self.entries[entry.known.rank(name).home_ip]

    def step(self, *, is_calm=False):
        """Let time pass. In calm, nothing changes that entries could see."""
        self.now += STEP_S
        if is_calm:
            for entry in self.entries.values():
                entry.decider.notice_run(self.now)
            return
        for change in [it for it in self.changes if it[0] <= self.now]:
            self.changes.remove(change)
            _, ip, tenant = change
            self.entries[ip].tenants[tenant.name] = tenant
        for entry in self.entries.values():
            if entry.runs(self.now):
                entry.look(self.now)

    def flood(self, seconds, multiple, cause=None):
        """Send far more than allowed to all entries for some time.

        :param multiple: requests per second in multiples of the rate.
        :param cause: called before each step.
        """
        ends_at = self.now + seconds
        while self.now < ends_at:
            if cause is not None:
                cause()
            self.step()
            for name, tenant in self.tenants.items():
                mean = tenant.rate_per_s * multiple * STEP_S
                for _ in range(int(mean + self.random.random())):
                    entry = self.random.choice(tuple(self.entries.values()))
                    self.send(name, entry, self.random.choice((0, 0.5, 1)))

    def send(self, name, entry, wait_s=0.0):
        """Send one request of a tenant that waits for a server.

        :param wait_s: time in lifetimes of a grant, after which it expires.
        """
        if not entry.runs(self.now):
            return None
        self.number += 1
        key = (entry.ip, self.number)
        decision = self.ask(name, entry, key)
        self.decisions[name].append((self.now, decision))
        if not isinstance(decision, Granted):
            return decision
        limit = find_limit(entry.tenants[name], BOUNDS)
        if self.random.random() < 0.05:
            # Refused by the servers.
            for other in self.entries.values():
                if self.are_connected(entry, other, self.now):
                    other.decider.give_back(key, self.now)
        else:
            self.runs[name].append(self.now + wait_s * limit.lifetime_s)
        return decision

    def ask(self, name, entry, key):
        """Return the decision that an entry gets for a request."""
        limit = find_limit(entry.tenants[name], BOUNDS)
        decision = entry.decider.decide(limit, key, self.now)
        asks = 0
        while isinstance(decision, Referred) and asks < 4:
            asks += 1
            answer = self.exchange(entry, decision.home_ip, name, key)
            decision = answer or decision
        if not isinstance(decision, Referred):
            return decision
        deputy_ip = entry.known.rank(name).deputy_ip
        if deputy_ip == entry.ip:
            return entry.decider.decide(
                limit, key, self.now, is_home_silent=True
            )
        answer = self.exchange(entry, deputy_ip, name, key, is_silent=True)
        return answer or Undecided()

    def exchange(self, entry, ip, name, key, *, is_silent=False):
        """Send a question and return the answer; either may be lost."""
        other = self.entries.get(ip)
        if other is None or other is entry or self.random.random() < self.loss:
            return None
        if not self.are_connected(entry, other, self.now):
            return None
        other.known.record_told(entry.known.known_count, self.now)
        limit = find_limit(other.tenants[name], BOUNDS)
        decision = other.decider.decide(
            limit, key, self.now, is_home_silent=is_silent
        )
        if isinstance(decision, Undecided) or self.random.random() < self.loss:
            return None
        return decision

    def find_excess(self, name):
        """Return the largest count of a window relative to its bound."""
        runs = sorted(self.runs[name])
        worst = 0.0
        first = 0
        for last, ran_at in enumerate(runs):
            while runs[first] <= ran_at - BOUNDS.window_s:
                first += 1
            start = ran_at - BOUNDS.window_s
            bound = self.find_bound(name, start)
            worst = max(worst, (last - first + 1) / bound)
        return worst

    def find_bound(self, name, start):
        """Return the bound for a window: the highest limit that may count."""
        limits = self.limits[name]
        bounds = []
        for index, (_, bound) in enumerate(limits):
            ends_at = float('inf')
            if index + 1 < len(limits):
                ends_at = (
                    limits[index + 1][0] + CONFIG_APPLY_S + BOUNDS.window_s
                )
            if start < ends_at:
                bounds.append(bound)
        return max(bounds)

    def count(self, name, kind, since=0.0):
        """Count the decisions of a kind."""
        return sum(
            isinstance(decision, kind) and at >= since
            for at, decision in self.decisions[name]
        )


class RandomFaults:
    """Causes faults at random times, most often to the homes of tenants."""

    def __init__(self, model):
        self.model = model
        self.next_at = model.now + 3

    def __call__(self):
        """Cause one if it is time."""
        model, random = self.model, self.model.random
        if model.now < self.next_at:
            return
        self.next_at = model.now + random.choice((0.3, 1, 2, 4))
        if not any(it.runs(model.now) for it in model.entries.values()):
            model.restart_killed()
            return
        name = random.choice(tuple(model.tenants))
        entry = random.choice(tuple(model.entries.values()))
        if random.random() < 0.7:
            entry = model.home(name)
        match random.choice(
            ('kill', 'freeze', 'divide', 'heal', 'restart', 'change')
        ):
            case 'kill':
                entry.is_killed = True
            case 'freeze':
                model.freeze(entry, random.choice((0.3, 0.9, 2, 6)))
            case 'divide':
                model.divide(random.choice((2, 2, 3, 8)))
            case 'heal':
                model.divide(1)
            case 'restart':
                model.restart_killed()
            case 'change':
                rate, burst = (
                    random.choice((0.5, 2, 10, 50)),
                    random.choice((0, 5, 50)),
                )
                model.change(Tenant(name, None, rate, burst))


__all__ = ('BOUNDS', 'Granted', 'Model', 'RandomFaults', 'Refused', 'STEP_S')
