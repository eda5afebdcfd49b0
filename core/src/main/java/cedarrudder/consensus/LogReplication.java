package cedarrudder.consensus;

import cedarrudder.consensus.RaftMessage.AppendEntries;
import cedarrudder.consensus.RaftMessage.AppendResponse;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * A leader's replication of its log during its term: sends entries to the other voters and commits
 * those that a majority has stored (Raft paper, 5.3).
 */
final class LogReplication {

    /**
     * The maximum size of the entries of one message, in bytes. A single larger entry is sent by
     * itself.
     */
    static final int MAX_BATCH_BYTES = 4_096;

    /**
     * A message with entries is not sent again for this many heartbeats, because the receiver
     * requests lost fragments of it on its own.
     */
    private static final int RESEND_HEARTBEATS = 4;

    /**
     * The delay, in nanoseconds, after which the leader probes whether a follower has received
     * entries, because responses may be lost. The next probe follows after twice that delay.
     */
    private static final long PROBE_DELAY = 60_000_000L;

    /** The replication progress of one follower or learner. */
    private static final class Progress {
        long matchIndex;
        long nextIndex;
        long sentAt;

        /** The index of the last entry that was sent. */
        long lastSentIndex;

        long probeAt;

        /** When the latest query that it has answered was sent. */
        long answeredQuerySentAt = PendingQueries.NEVER;

        boolean inFlight;
        long answeredAt;

        Progress(long nextIndex, long now) {
            this.nextIndex = nextIndex;
            this.answeredAt = now;
        }
    }

    private final RaftContext context;
    private final ConsensusSettings settings;
    private final SafetyRules rules;
    private final Map<Voter, Progress> followers = new HashMap<>();
    private final PendingQueries queries;
    private int queryId;
    private Voter learner;
    private long heartbeatAt;

    LogReplication(
            RaftContext context,
            ConsensusSettings settings,
            SafetyRules rules,
            RandomGenerator random,
            long now) {
        this.context = context;
        this.settings = settings;
        this.rules = rules;
        this.heartbeatAt = now;
        this.queries = new PendingQueries(random);
        this.queryId = queries.add(now, PendingQueries.ANY);
        targets().forEach(voter -> progress(now, voter));
    }

    private List<Voter> targets() {
        List<Voter> all = new ArrayList<>(context.log().voters().all());
        all.remove(context.self());
        if (learner != null && !all.contains(learner)) {
            all.add(learner);
        }
        return all;
    }

    private Progress progress(long now, Voter voter) {
        return followers.computeIfAbsent(
                voter, key -> new Progress(context.log().lastIndex() + 1, now));
    }

    /** Starts sending entries to a learner, a replica that does not vote yet; null ends that. */
    void startLearner(Voter voter) {
        learner = voter;
    }

    Voter learner() {
        return learner;
    }

    /** Returns the index up to which a replica is known to have the log. */
    long matchIndex(Voter voter) {
        Progress progress = followers.get(voter);
        return voter.equals(context.self())
                ? context.log().lastIndex()
                : progress == null ? 0 : progress.matchIndex;
    }

    /** Returns how long ago, in nanoseconds, a majority had last answered. */
    long nanosSinceQuorum(long now) {
        List<Long> ages =
                context.log().voters().all().stream()
                        .map(
                                voter ->
                                        voter.equals(context.self())
                                                ? 0L
                                                : now - progress(now, voter).answeredAt)
                        .sorted()
                        .toList();
        return ages.isEmpty() ? 0 : ages.get(ages.size() / 2);
    }

    /**
     * Returns the latest instant such that a majority has answered a query sent at or after it:
     * until then no other leader had been elected. Returns {@link PendingQueries#NEVER} if no
     * majority has answered.
     */
    long quorumConfirmedAt(long now) {
        List<Long> queryTimes =
                context.log().voters().all().stream()
                        .map(
                                voter ->
                                        voter.equals(context.self())
                                                ? now
                                                : progress(now, voter).answeredQuerySentAt)
                        .sorted(Comparator.reverseOrder())
                        .toList();
        return queryTimes.isEmpty() ? PendingQueries.NEVER : queryTimes.get(queryTimes.size() / 2);
    }

    long due() {
        long due = heartbeatAt;
        for (Voter voter : targets()) {
            Progress progress = followers.get(voter);
            due = progress == null || !progress.inFlight ? due : Math.min(due, progress.probeAt);
        }
        return due;
    }

    /** Sends what is due; returns whether that included a heartbeat. */
    boolean tick(long now) {
        if (now < heartbeatAt) {
            targets().forEach(voter -> probe(now, voter));
            return false;
        }
        heartbeatAt = now + settings.heartbeat();
        followers.keySet().retainAll(targets());
        queryId = queries.add(now, PendingQueries.ANY);
        for (Voter voter : targets()) {
            send(now, voter, true);
        }
        return true;
    }

    private void probe(long now, Voter to) {
        Progress progress = progress(now, to);
        if (progress.inFlight && now >= progress.probeAt) {
            progress.probeAt = now + 2 * Math.max(PROBE_DELAY, progress.probeAt - progress.sentAt);
            RaftLog log = context.log();
            if (progress.lastSentIndex >= log.firstIndex()) {
                context.send(
                        to.replica(),
                        new AppendEntries(
                                progress.lastSentIndex,
                                log.term(progress.lastSentIndex),
                                log.commitIndex(),
                                queryId,
                                List.of()));
            }
        }
    }

    /** Replicates entries that were appended to the log. */
    void onAppended(long now) {
        for (Voter voter : targets()) {
            send(now, voter, false);
        }
        advanceCommitIndex(now);
    }

    private void send(long now, Voter to, boolean isHeartbeat) {
        RaftLog log = context.log();
        Progress progress = progress(now, to);
        boolean awaitsResponse =
                progress.inFlight
                        && now - progress.sentAt < RESEND_HEARTBEATS * settings.heartbeat();
        if (progress.nextIndex <= log.firstIndex()
                || awaitsResponse
                || progress.nextIndex > log.lastIndex()) {
            if (isHeartbeat) {
                // The missing entries are in flight, or the follower has to fetch a snapshot and
                // learns so from this message.
                long after =
                        progress.nextIndex > log.lastIndex()
                                ? log.lastIndex()
                                : Math.max(progress.matchIndex, log.firstIndex());
                context.send(
                        to.replica(),
                        new AppendEntries(
                                after, log.term(after), log.commitIndex(), queryId, List.of()));
            }
            return;
        }
        List<LogEntry> batch = new ArrayList<>();
        int bytes = 0;
        for (long i = progress.nextIndex; i <= log.lastIndex(); i++) {
            LogEntry entry = log.entry(i);
            bytes += RaftMessageCodec.size(entry);
            if (!batch.isEmpty() && bytes > MAX_BATCH_BYTES) {
                break;
            }
            batch.add(entry);
        }
        progress.inFlight = true;
        progress.sentAt = now;
        progress.lastSentIndex = progress.nextIndex + batch.size() - 1;
        progress.probeAt = now + PROBE_DELAY;
        long after = progress.nextIndex - 1;
        context.send(
                to.replica(),
                new AppendEntries(after, log.term(after), log.commitIndex(), queryId, batch));
    }

    void onResponse(long now, Voter from, AppendResponse response) {
        Progress progress = followers.get(from);
        if (progress == null) {
            return;
        }
        progress.answeredAt = now;
        progress.answeredQuerySentAt =
                Math.max(
                        progress.answeredQuerySentAt,
                        queries.sentAt(from.replica(), response.queryId()));
        RaftLog log = context.log();
        if (response.success()) {
            if (response.matchIndex() > progress.matchIndex
                    && response.matchIndex() <= log.lastIndex()) {
                progress.matchIndex = response.matchIndex();
                progress.nextIndex = progress.matchIndex + 1;
                progress.inFlight = false;
                advanceCommitIndex(now);
            }
        } else if (response.matchIndex() + 1 < progress.nextIndex || progress.inFlight) {
            progress.nextIndex =
                    Math.max(progress.matchIndex, Math.min(response.matchIndex(), log.lastIndex()))
                            + 1;
            progress.inFlight = false;
        }
        if (progress.nextIndex <= log.lastIndex()) {
            send(now, from, false);
        }
    }

    /**
     * Commits the entries that a majority has stored. The majority is that of the voters at the
     * entry's own index: a voter that is being added counts from the entry that adds it.
     */
    private void advanceCommitIndex(long now) {
        RaftLog log = context.log();
        for (long i = log.lastIndex(); i > log.commitIndex(); i--) {
            long index = i;
            if (rules.mayCommitByCounting(log.term(i), context.term())
                    && log.votersAt(i).hasQuorum(voter -> matchIndex(voter) >= index)) {
                log.commit(i);
                context.onCommitAdvanced(now);
                return;
            }
        }
    }
}
