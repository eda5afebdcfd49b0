package cedarrudder.consensus;

import cedarrudder.consensus.RaftMessage.Append;
import cedarrudder.consensus.RaftMessage.SayAppend;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.random.RandomGenerator;

/**
 * What a leader does in its term: sends entries to the other voters, and counts who has them
 * (paper, 5.3).
 */
final class LogReplication {

    /** Entries in one message take at most this many bytes, or there is one. */
    static final int MAX_BATCH = 4_096;

    /**
     * A message of entries is not repeated for this long: pieces that were lost are asked for by
     * themselves.
     */
    private static final int REPEAT_HEARTBEATS = 4;

    /**
     * This long after entries went out it asks if they came, and again after twice that: answers
     * get lost.
     */
    private static final long PROBE = 60_000_000L;

    /** How far one other is. */
    private static final class Progress {
        long match;
        long next;
        long sentAt;

        /** The last entry that was sent. */
        long sentEnd;

        long probeAt;

        /** When it was sent what it answered last. */
        long askedAt = PendingQueries.NEVER;

        boolean underWay;
        long answeredAt;

        Progress(long next, long now) {
            this.next = next;
            this.answeredAt = now;
        }
    }

    private final RaftContext circle;
    private final ConsensusSettings settings;
    private final SafetyRules conduct;
    private final Map<Voter, Progress> others = new HashMap<>();
    private final PendingQueries asks;
    private int ask;
    private Voter trainee;
    private long heartbeatAt;

    LogReplication(
            RaftContext circle,
            ConsensusSettings settings,
            SafetyRules conduct,
            RandomGenerator random,
            long now) {
        this.circle = circle;
        this.settings = settings;
        this.conduct = conduct;
        this.heartbeatAt = now;
        this.asks = new PendingQueries(random);
        this.ask = asks.ask(now, PendingQueries.ANY);
        targets().forEach(voter -> progress(now, voter));
    }

    private List<Voter> targets() {
        List<Voter> all = new ArrayList<>(circle.log().voters().all());
        all.remove(circle.self());
        if (trainee != null && !all.contains(trainee)) {
            all.add(trainee);
        }
        return all;
    }

    private Progress progress(long now, Voter voter) {
        return others.computeIfAbsent(voter, v -> new Progress(circle.log().last() + 1, now));
    }

    /** Sends entries to this one too, who does not vote yet; null ends that. */
    void train(Voter voter) {
        trainee = voter;
    }

    Voter trainee() {
        return trainee;
    }

    /** Up to which index this one has the log. */
    long match(Voter voter) {
        Progress found = others.get(voter);
        return voter.equals(circle.self()) ? circle.log().last() : found == null ? 0 : found.match;
    }

    /** How long it is since this many had answered that they are a majority. */
    long sinceMajority(long now) {
        List<Long> ages =
                circle.log().voters().all().stream()
                        .map(
                                voter ->
                                        voter.equals(circle.self())
                                                ? 0L
                                                : now - progress(now, voter).answeredAt)
                        .sorted()
                        .toList();
        return ages.isEmpty() ? 0 : ages.get(ages.size() / 2);
    }

    /**
     * The latest instant at which something was sent that a majority has answered: until then
     * nobody else had been elected. {@link PendingQueries#NEVER} where none has.
     */
    long answeredSince(long now) {
        List<Long> asked =
                circle.log().voters().all().stream()
                        .map(
                                voter ->
                                        voter.equals(circle.self())
                                                ? now
                                                : progress(now, voter).askedAt)
                        .sorted(Comparator.reverseOrder())
                        .toList();
        return asked.isEmpty() ? PendingQueries.NEVER : asked.get(asked.size() / 2);
    }

    long due() {
        long due = heartbeatAt;
        for (Voter voter : targets()) {
            Progress progress = others.get(voter);
            due = progress == null || !progress.underWay ? due : Math.min(due, progress.probeAt);
        }
        return due;
    }

    /** Whether it was time for a heartbeat, which went out. */
    boolean tick(long now) {
        if (now < heartbeatAt) {
            targets().forEach(voter -> probe(now, voter));
            return false;
        }
        heartbeatAt = now + settings.heartbeat();
        others.keySet().retainAll(targets());
        ask = asks.ask(now, PendingQueries.ANY);
        for (Voter voter : targets()) {
            send(now, voter, true);
        }
        return true;
    }

    private void probe(long now, Voter to) {
        Progress progress = progress(now, to);
        if (progress.underWay && now >= progress.probeAt) {
            progress.probeAt = now + 2 * Math.max(PROBE, progress.probeAt - progress.sentAt);
            RaftLog log = circle.log();
            if (progress.sentEnd >= log.base()) {
                circle.post(
                        to.replica(),
                        new Append(
                                progress.sentEnd,
                                log.term(progress.sentEnd),
                                log.committed(),
                                ask,
                                List.of()));
            }
        }
    }

    /** There is more to send. */
    void appended(long now) {
        for (Voter voter : targets()) {
            send(now, voter, false);
        }
        count(now);
    }

    private void send(long now, Voter to, boolean beats) {
        RaftLog log = circle.log();
        Progress progress = progress(now, to);
        boolean waits =
                progress.underWay
                        && now - progress.sentAt < REPEAT_HEARTBEATS * settings.heartbeat();
        if (progress.next <= log.base() || waits || progress.next > log.last()) {
            if (beats) {
                // What it lacks is on its way, or it has to ask for a snapshot, which it learns
                // from this.
                long after =
                        progress.next > log.last()
                                ? log.last()
                                : Math.max(progress.match, log.base());
                circle.post(
                        to.replica(),
                        new Append(after, log.term(after), log.committed(), ask, List.of()));
            }
            return;
        }
        List<LogEntry> batch = new ArrayList<>();
        int bytes = 0;
        for (long i = progress.next; i <= log.last(); i++) {
            LogEntry entry = log.entry(i);
            bytes += RaftMessage.size(entry);
            if (!batch.isEmpty() && bytes > MAX_BATCH) {
                break;
            }
            batch.add(entry);
        }
        progress.underWay = true;
        progress.sentAt = now;
        progress.sentEnd = progress.next + batch.size() - 1;
        progress.probeAt = now + PROBE;
        long after = progress.next - 1;
        circle.post(to.replica(), new Append(after, log.term(after), log.committed(), ask, batch));
    }

    void said(long now, Voter by, SayAppend say) {
        Progress progress = others.get(by);
        if (progress == null) {
            return;
        }
        progress.answeredAt = now;
        progress.askedAt = Math.max(progress.askedAt, asks.at(by.replica(), say.answers()));
        RaftLog log = circle.log();
        if (say.same()) {
            if (say.index() > progress.match && say.index() <= log.last()) {
                progress.match = say.index();
                progress.next = progress.match + 1;
                progress.underWay = false;
                count(now);
            }
        } else if (say.index() + 1 < progress.next || progress.underWay) {
            progress.next = Math.max(progress.match, Math.min(say.index(), log.last())) + 1;
            progress.underWay = false;
        }
        if (progress.next <= log.last()) {
            send(now, by, false);
        }
    }

    /**
     * An entry is counted by the voters of its own index: one to be added counts from the entry
     * that adds it.
     */
    private void count(long now) {
        RaftLog log = circle.log();
        for (long i = log.last(); i > log.committed(); i--) {
            long index = i;
            if (conduct.counts(log.term(i), circle.term())
                    && log.votersAt(i).majority(voter -> match(voter) >= index)) {
                log.commit(i);
                circle.advanced(now);
                return;
            }
        }
    }
}
