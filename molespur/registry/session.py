"""What to do next with a registry: full read, watch, resume, and where that fails.  Pure.

Events in, actions out; no sockets, no clock but `now`, no randomness but the generator passed in.  Each
request carries a *turn*; an answer under an older turn is passed over, so at most one exchange is in force.

It never goes backwards.  Within one cluster of members a full read at a lower revision than the view's is a
member that lags: it is not taken, and another member (or, with Consul, the leader) is asked.  Another cluster
id is taken for a restored or replaced registry only after a whole round in which no member answered with the
known one.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from . import model as m
from .backoff import Backoff, Members
from .model import Why

STILL_MOST = 2  # times that a member may tell that nothing is new, before another is asked
READS_AT_ONCE = 3  # full reads begun one after the other without a wait, where compaction cuts them short


@dataclass(frozen=True, slots=True)
class Rules:
    """How a session behaves; times in ms."""

    members: int
    long_poll: bool = False  # Consul: each answer of a watch is the whole list at an index
    authenticates: bool = False
    backoff_ms: float = 100.0
    backoff_most_ms: float = 5000.0
    pause_ms: float = 0.0  # least time between two blocking queries: a busy prefix must not make a busy loop


class Session:
    """One registry followed by one client."""

    def __init__(self, rules: Rules, rng: Random):
        self.rules, self.rng = rules, rng
        self.members = Members(rules.members, rng)
        self.backoff = Backoff(rules.backoff_ms, rules.backoff_most_ms, rng)
        self.turn = 0
        self.cluster, self.revision = "", 0  # of the view; the revision only grows within one cluster
        self.synced = False  # the view is whole as of `revision`
        self.fresh = False  # and a watch keeps it so
        self.token = not rules.authenticates
        self._then: Callable[[], None] = self._resume
        self._reading_at, self._reading_cluster = 0, ""  # of the full read under way; 0: none
        self._key: str | None = None  # where its next page begins
        self._cut = 0  # full reads cut short by compaction, since one was finished
        self._foreign: set[int] = set()  # members of another cluster, since the known one spoke
        self._doubt = False  # the next read must be proven: an answer went backwards
        self._asked_at, self._still = 0.0, 0
        self.out: list[m.Action] = []
        self._routes = {
            m.Begin: self._begin, m.PageRead: self._page, m.WatchOpened: self._opened,
            m.Changed: self._changed, m.Listed: self._listed, m.Granted: self._granted,
            m.Failed: self._failed, m.Due: self._due,
        }  # fmt: skip

    def handle(self, now: float, event: m.Event) -> list[m.Action]:
        """Take one event at time now (ms) and return what to do, in order."""
        self.now, self.out = now, []
        if type(event) is m.Begin or event.turn == self.turn:
            self._routes[type(event)](event)
        return self.out

    # -- Steps -----------------------------------------------------------------------------------

    def _next_turn(self) -> int:
        self.turn += 1
        return self.turn

    def _note(self, event: str, **fields) -> None:
        self.out.append(m.Note(event, fields))

    def _resume(self) -> None:
        """Do the next thing that is needed."""
        if not self.token:
            self.out.append(m.Authenticate(self._next_turn(), self.members.now))
        elif self.synced:
            self._asked_at = self.now
            self.out.append(m.OpenWatch(self._next_turn(), self.members.now, self.revision))
        elif self._reading_at:
            self.out.append(m.ReadPage(self._next_turn(), self.members.now, self._reading_at, self._key))
        else:
            self.out.append(m.ReadPage(self._next_turn(), self.members.now, proof=self._doubt))

    def _reread(self) -> None:
        """The view can't be brought up to date by a watch: read all again."""
        self.synced, self._reading_at, self._key = False, 0, None
        self._stale()

    def _stale(self) -> None:
        if self.fresh:
            self.fresh = False
            self.out.append(m.Standing(False))

    def _wait(self, delay_ms: float, then: Callable[[], None] | None = None) -> None:
        self._then = then or self._resume
        self.out.append(m.Wait(self._next_turn(), delay_ms))

    def _retry_elsewhere(self) -> None:
        """Go on with another member, after a wait."""
        self._stale()
        self.members.next()
        self._wait(self.backoff.next_ms())

    # -- Events ----------------------------------------------------------------------------------

    def _begin(self, event: m.Begin) -> None:
        """A snapshot's list is shown at once; the registry is read in full all the same, since it may be
        old: only its place is known, so that an older answer is recognised."""
        self.cluster, self.revision = event.cluster, event.revision
        self._resume()

    def _due(self, _event: m.Due) -> None:
        self._then()

    def _granted(self, _event: m.Granted) -> None:
        self.token = True
        self._resume()

    def _knows(self, cluster: str) -> bool:
        """Whether an answer is from the cluster that the view stands in.  What is to be done if not, is."""
        known = self._reading_cluster if self._reading_at else self.cluster
        if not known or cluster == known:
            self._foreign.discard(self.members.now)
            if cluster == self.cluster:
                self._foreign.clear()
            return True
        self._foreign.add(self.members.now)
        if self._foreign | self.members.failed >= set(range(self.members.count)):
            # no member speaks for the known cluster any more: restored or replaced
            self._note("registry.other_cluster", was=known, now=cluster, revision=self.revision)
            return True
        self._note("registry.foreign_member", member=self.members.now, cluster=cluster, known=known)
        self._reread()
        self._retry_elsewhere()
        return False

    def _stands_here(self, cluster: str) -> bool:
        """Whether a watch is on the cluster that the view stands in.  What is to be done if not, is."""
        if not self._knows(cluster):
            return False
        if cluster != self.cluster:
            self._reread()
            self._resume()
        return cluster == self.cluster

    def _page(self, event: m.PageRead) -> None:
        if not self._knows(event.cluster):
            return
        same = event.cluster == self.cluster
        if self._reading_at and event.cluster != self._reading_cluster:
            # guards against a list put together from two registries
            self._reread()
            self._resume()
            return
        if not self._reading_at:
            if same and event.revision < self.revision:
                if not (self.rules.long_poll and self._doubt and event.proven):
                    self._lagging(event.revision)
                    return
                self._note("registry.restored", was=self.revision, now=event.revision)
            self._reading_at, self._reading_cluster = event.revision, event.cluster
            self.out.append(m.BeginRebuild())
        self.members.well()
        self.out.append(m.AddPage(event.items))
        if event.next_key is not None:
            self._key = event.next_key
            self._resume()
            return
        self.cluster, self.revision = event.cluster, self._reading_at
        self.synced, self._reading_at, self._key, self._cut, self._doubt = True, 0, None, 0, False
        self._foreign.clear()
        self._note("registry.read", revision=self.revision, cluster=self.cluster)
        self.out.append(m.FinishRebuild(self.cluster, self.revision))
        if self.rules.long_poll:
            self._up()
        self._resume()

    def _lagging(self, revision: int) -> None:
        """A member answered with less than was seen before: never taken."""
        self._note("registry.lagging", member=self.members.now, revision=revision, seen=self.revision)
        self._doubt = True  # Consul keeps no cluster id: only its leader can prove that it was restored
        self._reread()
        self._retry_elsewhere()

    def _opened(self, event: m.WatchOpened) -> None:
        if self._stands_here(event.cluster):
            self._up()

    def _up(self) -> None:
        self.members.well()
        self.backoff.ease()
        if not self.fresh:
            self.fresh = True
            self.out.append(m.Standing(True))

    def _changed(self, event: m.Changed) -> None:
        if not self._stands_here(event.cluster):
            return
        if not event.changes and self._standing_still(event.revision):
            return
        # a member may say again what it has said; what is known is passed over, never applied twice
        new = tuple(c for c in event.changes if c.revision > self.revision)
        if len(new) < len(event.changes):
            self._note("registry.repeated", changes=len(event.changes) - len(new))
        if event.revision > self.revision:
            self.revision = event.revision
            if new:
                self.out.append(m.Apply(event.revision, new))

    def _standing_still(self, revision: int) -> bool:
        """A member told that nothing is new.  One that is cut off from the others says so for good, so after
        some of these another is asked for what follows our revision."""
        if revision < self.revision:
            self._note("registry.lagging", member=self.members.now, revision=revision, seen=self.revision)
            self._retry_elsewhere()
            return True
        self._still = self._still + 1 if revision == self.revision else 0
        if self._still < STILL_MOST or self.rules.members == 1:
            return False
        self._ask_next()
        return True

    def _ask_next(self) -> None:
        """All may be well, but let the next member tell what follows our revision."""
        self._still = 0
        self.members.now = (self.members.now + 1) % self.members.count
        self._resume()

    def _listed(self, event: m.Listed) -> None:
        """A blocking query's answer; see Consul's documentation on blocking queries for the index."""
        if event.revision <= 0 or event.revision < self.revision:
            if event.revision <= 0:
                self._note("registry.bad_index", index=event.revision)
                self._reread()
                self._retry_elsewhere()
            else:
                self._lagging(event.revision)
            return
        self._up()
        if event.revision > self.revision:
            self.revision, self._still = event.revision, 0
            self.out += [m.BeginRebuild(), m.AddPage(event.items)]
            self.out.append(m.FinishRebuild(self.cluster, event.revision))
        elif self._standing_still(event.revision):
            return
        rest = self._asked_at + self.rules.pause_ms - self.now
        if rest > 0:
            self._wait(rest)
        else:
            self._resume()

    def _failed(self, event: m.Failed) -> None:
        why = event.fault.why
        self._note(f"registry.{why.value}", member=self.members.now, detail=event.fault.detail)
        if why is Why.TOKEN and self.rules.authenticates:
            # what was watched stands; a new token resumes it from its revision, so that nothing is missed
            self._stale()
            self.token = False
            if self.backoff.failures:
                self._wait(self.backoff.next_ms())
            else:
                self.backoff.failures = 1
                self._resume()
        elif why is Why.COMPACTED:
            self._cut += 1
            self._reread()
            if self._cut > READS_AT_ONCE:
                self._wait(self.backoff.next_ms())
            else:
                self._resume()
        elif why is Why.SILENT and self.fresh:
            self._ask_next()
        else:
            if why is Why.MALFORMED:
                self._reread()  # guards against a change that can't be read being asked for again and again
            if why is not Why.BEHIND and self._reading_at and self.members.round_over:
                self._reading_at, self._key = 0, None  # the revision that we read at may be long gone
            self._retry_elsewhere()
