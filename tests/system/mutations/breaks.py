"""The breaks: each puts one text in place of another in one file, and names the tests that must fail then."""

from dataclasses import dataclass

CONSENSUS = "molespur/system/consensus/"
SHARDS = "molespur/system/shards/"
DATA_PLANE = "molespur/system/data_plane/"
TESTS = "tests/system/"


@dataclass(frozen=True)
class Break:
    """One deliberate break."""

    name: str
    file: str
    line: str
    broken: str
    tests: tuple[str, ...]


CONSENSUS_TESTS = (TESTS + "test_votes.py", TESTS + "test_consensus.py", TESTS + "test_exhaustive.py")
CUT_TESTS = (TESTS + "test_cut_off_control.py",)
HISTORY_TESTS = (TESTS + "test_operator_histories.py",)
LOSS_TESTS = (TESTS + "test_second_loss.py",)
CHANGE_TESTS = (TESTS + "test_many_changes.py",)
CALLER_TESTS = (TESTS + "test_answers_and_callers.py",)
EXCHANGE_TESTS = (TESTS + "test_exchange.py",)
REST_TESTS = (TESTS + "test_resting_workers.py",)
PART_TESTS = (TESTS + "test_workers.py", TESTS + "test_liveness_contact.py", TESTS + "test_orders.py")
SNAPSHOT_TESTS = (TESTS + "test_snapshots_across_leaders.py",)
REDIRECT_TESTS = (TESTS + "test_redirects.py",)
AGE_TESTS = tuple(
    TESTS + f"test_{name}.py"
    for name in ("state_age_of_replicas", "sources", "feed", "old_configuration", "state_age")
)

BREAKS = (
    # -- Votes, terms, commits ------------------------------------------------------------------------
    Break("a vote that is told before it is on the disk", CONSENSUS + "elections.py",
          "self._answer_vote(message, granted, after_write=True)",
          "self._answer_vote(message, granted, after_write=False)", CONSENSUS_TESTS),
    Break("a second vote in one term", CONSENSUS + "elections.py",
          'granted = up_to_date and self.hard_state.vote in ("", message.sender)',
          "granted = up_to_date", CONSENSUS_TESTS),
    Break("a vote for a log that is behind", CONSENSUS + "elections.py",
          "up_to_date = (request.last_term, request.last_index) >= mine",
          "up_to_date = True", CONSENSUS_TESTS),
    Break("a replica without a vote that votes", CONSENSUS + "elections.py",
          "if self.role is Role.NON_MEMBER or not self.is_voter():",
          "if self.role is Role.NON_MEMBER:", CONSENSUS_TESTS),
    Break("a commit of an entry of an earlier term", CONSENSUS + "leading.py",
          "if self.log.holds(majority, self.hard_state.term):",
          "if True:", CONSENSUS_TESTS),
    Break("a leader that counts its own entry before its sync", CONSENSUS + "leading.py",
          "majority = self._reached(self.log.durable_index,",
          "majority = self._reached(self.log.last_index,", CONSENSUS_TESTS),
    Break("a follower that acknowledges before its sync", CONSENSUS + "following.py",
          "self._send(self._sender(message), reply, after_write=bool(new) or self.log.durable_index < last)",
          "self._send(self._sender(message), reply)", CONSENSUS_TESTS),
    Break("half of the voters are a majority", CONSENSUS + "progress.py",
          "ranked[len(ranked) // 2]", "ranked[len(ranked) // 2 - 1]", CONSENSUS_TESTS + LOSS_TESTS),
    Break("a follower that takes entries without looking at what is before them", CONSENSUS + "following.py",
          "if self.log.term_at(previous) != previous_term:", "if self.log.term_at(previous) is None:",
          CONSENSUS_TESTS + CHANGE_TESTS),
    Break("a snapshot over later entries", CONSENSUS + "following.py",
          "if self.log.holds(sent.index, sent.term):", "if False:", CONSENSUS_TESTS),
    Break("two voters that change at once", CONSENSUS + "leading.py",
          "if len(new ^ set(self.voters())) > 1 or self.id not in new:", "if self.id not in new:",
          CONSENSUS_TESTS),
    Break("a membership that changes before the last one is committed", CONSENSUS + "leading.py",
          "if self.role is not Role.LEADER or not self.log.membership_committed or self.transfer_to:",
          "if self.role is not Role.LEADER or self.transfer_to:",
          CONSENSUS_TESTS + (TESTS + "test_membership_changes.py",)),
    # -- Point 1: contact before an answer ------------------------------------------------------------
    Break("a read that is confirmed without a round", CONSENSUS + "read_index.py",
          "while self._pending and self._pending[0].round <= majority_round:",
          "while self._pending:", CONSENSUS_TESTS),
    Break("a read before an entry of the own term is committed", CONSENSUS + "leading.py",
          "if self.role is not Role.LEADER or not self._own_term_committed():\n            self._actions",
          "if self.role is not Role.LEADER:\n            self._actions", CONSENSUS_TESTS),
    Break("a leader that nobody answers and that goes on", CONSENSUS + "replica.py",
          "            if not self.has_quorum_contact(self.now):\n", "            if False:\n",
          CONSENSUS_TESTS + CUT_TESTS),
    Break("a proposal without contact", SHARDS + "host.py",
          "if not group.replica.has_quorum_contact(self.clock()):", "if False:", CUT_TESTS),
    Break("a caller who waits although the lead is lost", SHARDS + "host.py",
          "group.fail_waiters()", "pass", CUT_TESTS + (TESTS + "test_liveness_contact.py",)),
    Break("a heartbeat acknowledged without contact", "molespur/system/control_plane/calls.py",
          "if not self.host.has_lease(name):\n            raise", "if False:\n            raise",
          CUT_TESTS + (TESTS + "test_liveness_contact.py",)),
    Break("a heartbeat acknowledged that is not committed", "molespur/system/workers/liveness.py",
          "if worker.state != pb.DRAINING and self._is_late(worker, known):",
          "if self._is_late(worker, known) or worker.sequence <= self.proposed_sequences.get(worker.id, 0):",
          CUT_TESTS + PART_TESTS),
    Break("a scheduler that is started on an unconfirmed state", "molespur/system/feed/source.py",
          "if confirmed is None or confirmed.asked_at < follower.since:", "if False:",
          CUT_TESTS + (TESTS + "test_feed.py",)),
    # -- Point 2: one winner, outcomes that stay --------------------------------------------------------
    Break("a digest that is not kept", SHARDS + "configuration.py",
          "self.accepted_digests[command.digest] = None", "pass", HISTORY_TESTS),
    Break("digests that a snapshot loses", SHARDS + "configuration.py",
          "self.accepted_digests = dict.fromkeys(state.taken_digests)", "self.accepted_digests = {}",
          HISTORY_TESTS),
    Break("a refusal that is forgotten", SHARDS + "configuration.py",
          "self.refused_bases[command.digest] = command.base_version", "pass", HISTORY_TESTS),
    Break("a change on another version than the current one", SHARDS + "configuration.py",
          "if command.base_version != self.version or command.digest in self.refused_bases:",
          "if command.base_version < self.version or command.digest in self.refused_bases:", HISTORY_TESTS),
    # -- Point 3: votes that pass on ----------------------------------------------------------------------
    Break("a stop that keeps the vote", SHARDS + "leaving.py",
          "await asyncio.sleep(STEP_S)", "return", LOSS_TESTS),
    Break("a silent voter that keeps its vote for long", SHARDS + "membership_changes.py",
          "LOST_AFTER_MS = 1200.0", "LOST_AFTER_MS = 6000.0", LOSS_TESTS),
    Break("a process that ends with the only other copy", SHARDS + "membership_changes.py",
          "return 2 * holding > len(voters) + 1", "return True",
          LOSS_TESTS + (TESTS + "test_membership_changes.py",)),
    Break("a learner that gets a vote before it has the log", SHARDS + "membership_changes.py",
          "near = progress.match + LAG_ENTRIES >= replica.log.last_index", "near = True",
          LOSS_TESTS + (TESTS + "test_membership_changes.py",)),
    Break("a wiped replica that keeps its vote", SHARDS + "membership_changes.py",
          "if m.rpc_address != joining.rpc_address]", "]",
          LOSS_TESTS + (TESTS + "test_membership_changes.py",)),
    # -- Point 4: catching up ---------------------------------------------------------------------------
    Break("a snapshot whose checksum is not looked at", CONSENSUS + "snapshot_transfer.py",
          "if crc32(state) != message.checksum or len(state) != message.size:",
          "if len(state) != message.size:", CHANGE_TESTS),
    Break("a conflict that goes back one entry a round trip", CONSENSUS + "log.py",
          "while index > self.commit_index and self.term_at(index) == term:",
          "for _ in range(1):", CHANGE_TESTS),
    Break("a leader that is silent while a snapshot is on its way", CONSENSUS + "leading.py",
          "self._send_heartbeat(member)\n            return", "return", CHANGE_TESTS),
    # -- Point 5: callers and answers ----------------------------------------------------------------------
    Break("a rejection of another request that counts", DATA_PLANE + "answer_checks.py",
          "if rejected and answered in (attempt_id, None):", "if rejected:", CALLER_TESTS),
    Break("an answer of any id", DATA_PLANE + "answer_checks.py",
          "if answered != attempt_id:", "if False:", CALLER_TESTS),
    Break("a resend of what may have run", DATA_PLANE + "exchange.py",
          "most = self.route.max_attempts if self._repeatable() else 1",
          "most = self.route.max_attempts", CALLER_TESTS + EXCHANGE_TESTS),
    Break("an answer without a length that counts as whole", DATA_PLANE + "worker_call.py",
          'raise UpstreamError(Failure.MAY_HAVE_RUN, "an answer without framing may be cut short")',
          "pass", CALLER_TESTS),
    # -- Ends of answers: facts end, silence begins a second attempt at most --------------------------------
    Break("a silent attempt that is ended with its hedge's beginning", DATA_PLANE + "exchange.py",
          "return self._start(choice, answering, hedge=True)",
          "self.open.pop(silent.number)\n        return self._start(choice, answering, hedge=True)",
          EXCHANGE_TESTS + REST_TESTS),
    Break("a failed attempt that ends the request beside an open one", DATA_PLANE + "exchange.py",
          "if self.open:\n            return []  # the other one goes on", "", EXCHANGE_TESTS + REST_TESTS),
    Break("an attempt that was overtaken and goes on", DATA_PLANE + "exchange.py",
          "return [self._abandon(other) for other in self._others(attempt)]", "return []",
          EXCHANGE_TESTS + REST_TESTS),
    Break("a hedge without a right to a repeat", DATA_PLANE + "exchange.py",
          "if not self._may_send(now, read=choice.way.prefill is not None and not answering):",
          "if False:", EXCHANGE_TESTS),
    Break("a hedge that takes a reader's only run", DATA_PLANE + "exchange.py",
          "if silent.reading and choice.way.prefill is None and runs_left < 2:", "if False:", EXCHANGE_TESTS),
    Break("an overtaken run that does not count", DATA_PLANE + "exchange.py",
          "self.open.pop(attempt.number)\n        self._count_ended(attempt)",
          "self.open.pop(attempt.number)", EXCHANGE_TESTS),
    Break("hedges while most workers rest", DATA_PLANE + "hedging.py",
          "if self._most_rest(now):", "if False:", (TESTS + "test_hedging.py",)),
    Break("hedges beyond their share", DATA_PLANE + "hedging.py",
          "self._saved -= 1.0", "pass", (TESTS + "test_hedging.py",)),
    Break("a stream that is joined from two versions", DATA_PLANE + "client_answer.py",
          "if head.get(VERSIONS) != self._versions:", "if False:", REST_TESTS),
    Break("events that the client has already", DATA_PLANE + "worker_call.py",
          "if not follows(whole, last_id):", "if False:", REST_TESTS),
    Break("a stream that is taken up without an id", DATA_PLANE + "worker_call.py",
          "if not last_id:", "if False:", REST_TESTS),
    Break("an error that wins a race", DATA_PLANE + "worker_call.py",
          "if head.status >= 400 and self.shared.contested:", "if False:", REST_TESTS),
    Break("a worker that is blamed for being overtaken", "molespur/policy/pair.py",
          "step.worker.suspect(now)", "step.worker.failed(now, 2.0)", (TESTS + "test_hedging.py",)),
    Break("a loss of decode workers that waits like a swing", "molespur/system/workers/phases.py",
          "if turns and not short and now - self.turned_at < REVERSE_MS:",
          "if turns and now - self.turned_at < REVERSE_MS:", (TESTS + "test_phases.py",)),
    Break("a split that bears no loss", "molespur/system/workers/phases.py",
          "LEAST_RUNNERS = 1 / 6", "LEAST_RUNNERS = 1 / 60", (TESTS + "test_phases.py",)),
    # -- Orders and records ------------------------------------------------------------------------------
    Break("a fence that was refused and is used again", "molespur/system/control_plane/orders.py",
          "self.fenced_off[worker.id] = fence", "pass", PART_TESTS),
    Break("an older record over draining", "molespur/system/workers/directory.py",
          "if worker.id in self.removed or self._overtaken(worker):", "if worker.id in self.removed:",
          PART_TESTS),
    # -- The age of state, channels, ends ------------------------------------------------------------------
    Break("a claim before an entry of the own term is committed", CONSENSUS + "replica_state.py",
          "if self.role is not Role.LEADER or not self._own_term_committed():\n            return float",
          "if self.role is not Role.LEADER:\n            return float", AGE_TESTS),
    Break("a claim that reaches beyond the follower's last reply", CONSENSUS + "leading.py",
          "max(progress.heard_at - confirmed_at, 0.0)", "progress.heard_at - self.now", AGE_TESTS),
    Break("a claim made to another life of the process", CONSENSUS + "following.py",
          "if request.life == self.life:", "if request.life:", AGE_TESTS),
    Break("a claim that holds before its index is applied", CONSENSUS + "state_age.py",
          "while self._claims and self._claims[0].commit_index <= index:", "while self._claims:", AGE_TESTS),
    Break("a commit that is told with the next heartbeat", CONSENSUS + "leading.py",
          "return progress.match < self.log.last_index or progress.commit_told < self.log.commit_index",
          "return progress.match < self.log.last_index", CONSENSUS_TESTS),
    Break("a source that answers before it has sent everything", "molespur/system/feed/source.py",
          "follows=follower is not None and len(follower.started) == len(self.host.groups),",
          "follows=True,", AGE_TESTS),
    Break("a scheduler that takes a monitor's word for its own state", "molespur/system/feed/follower.py",
          "if from_source and pong.follows:", "if pong.follows:", AGE_TESTS),
    Break("a source that is kept however old its state is", "molespur/system/feed/sources.py",
          "return self.age(now) > self.budget.leave_ms", "return False", AGE_TESTS),
    Break("a refusal out of a configuration of any age", DATA_PLANE + "ingress.py",
          "if kind in REFUSED_BY_CONFIGURATION and not self.freshness.may_refuse():", "if False:", AGE_TESTS),
    Break("a channel that is kept though nothing comes back", "molespur/system/rpc/liveness.py",
          "return Step.GIVE_UP if now - self._asked_at > ANSWER_S else Step.NOTHING", "return Step.NOTHING",
          (TESTS + "test_channel_liveness.py",)),
    Break("a connection that is closed over unread bytes", DATA_PLANE + "client_server.py",
          "            self._linger()\n", "            await self._close()\n",
          (TESTS + "test_closing_connections.py",)),
    Break("a process that ends while its vote is one too many", SHARDS + "membership_changes.py",
          "if len(replica.voters()) > self.voters_wanted:", "if False:",
          (TESTS + "test_membership_changes.py",)),
    Break("two candidates of which neither gives way", CONSENSUS + "elections.py",
          "if granted and self.role is Role.PRE_CANDIDATE and message.sender > self.id:", "if False:",
          (TESTS + "test_votes.py",)),
    # -- Snapshots, redirects, orders, attempts that are overtaken --------------------------------------
    Break("points of compaction that differ from replica to replica", CONSENSUS + "compaction.py",
          "index % self._stride(state_bytes)", "(index + id(self) // 16) % self._stride(state_bytes)",
          SNAPSHOT_TESTS),
    Break("a new leader that is not told of the pieces that are held", CONSENSUS + "following.py",
          "            self.receiving.report_partial(reply.append_reply)\n", "", SNAPSHOT_TESTS),
    Break("an accepted channel that nobody judges", "molespur/system/rpc/channel.py",
          "        self._loop.call_later(QUIET_S, self._look)\n        sock", "        sock",
          (TESTS + "test_channel_liveness.py",)),
    Break("a redirect by words heard", "molespur/system/control_plane/calls.py",
          "reply = await self.peers.call(leader.rpc_address, LEADS, CONFIGURATION, answer_s=REDIRECT_S)",
          "reply = pb.Reply(status=OK)", REDIRECT_TESTS),
    Break("a leader that says that it leads whoever answers it", "molespur/system/control_plane/calls.py",
          "            self._must_be_in_touch(call.subject)\n", "            pass\n",
          (TESTS + "test_orders.py",)),
    Break("a leader that steps down and tells nobody", CONSENSUS + "leading.py",
          "self._send(self.member(successor), self._timeout_now(successor))", "pass", REDIRECT_TESTS),
    Break("an order that names no number", "molespur/system/control_plane/orders.py",
          "if expected is not None:", "if False:", (TESTS + "test_orders.py",)),
    Break("a number that is kept although an order went out", "molespur/system/control_plane/orders.py",
          "        self.revisions.order_sent(worker.id)\n", "", (TESTS + "test_orders.py",)),
    Break("memory of an overtaken attempt that is kept", DATA_PLANE + "client_call.py",
          "self._note_memory(call)\n        self._free(attempt)\n", "self._note_memory(call)\n",
          (TESTS + "test_overtaken_attempts.py",)),
    Break("a call that never had a turn and is not ended", DATA_PLANE + "client_call.py",
          'call.end("cancelled")', "pass", (TESTS + "test_overtaken_attempts.py",)),
    Break("a long request under the kernel's short time-out", DATA_PLANE + "network.py",
          "            self._set_long_write(True)\n", "            pass\n", (TESTS + "test_long_writes.py",)),
)  # fmt: skip
