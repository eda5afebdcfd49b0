package cedarrudder.lab.attack;

import java.io.Closeable;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;

/** Plays attacks, many at once, and judges what each got by what it is owed. */
public final class Player implements Closeable {

    private static final int AT_ONCE = 24;
    private static final int MARGIN_MILLIS = 500;

    /**
     * Answers of 60 KB that a proxy may make ready for who reads none: what sockets' buffers hold.
     */
    private static final int MAX_UNREAD = 200;

    private static final String HEALTHY = "ready\n";

    private final InetSocketAddress to;
    private final RequestTemplates words;
    private final ScriptedNodes nodes;
    private final int slack;
    private final ExecutorService threads =
            Executors.newFixedThreadPool(
                    AT_ONCE,
                    task -> {
                        Thread thread = new Thread(task, "attack");
                        thread.setDaemon(true);
                        return thread;
                    });

    /**
     * @param nodes those of the daemon under attack; null where they are not ours to see
     * @param slack times are allowed to be this many times what is owed: more than 1 on a machine
     *     that is short of cores
     */
    Player(InetSocketAddress to, RequestTemplates words, ScriptedNodes nodes, int slack) {
        this.to = to;
        this.words = words;
        this.nodes = nodes;
        this.slack = slack;
    }

    /** Plays against a daemon whose nodes are not ours to see. */
    public static Player against(InetSocketAddress to, RequestTemplates words) {
        return new Player(to, words, null, 1);
    }

    /**
     * Plays all of them, some at once; results come in their order.
     *
     * @param run goes into the ids, which must not be used twice on one daemon
     * @param seed where not null, what is said in one piece goes out cut at places drawn from it
     */
    public List<Outcome> play(List<Attack> attacks, String run, Long seed)
            throws InterruptedException {
        List<Future<Outcome>> all = new ArrayList<>();
        for (int i = 0; i < attacks.size(); i++) {
            Attack attack = attacks.get(i);
            SplittableRandom cuts = seed == null ? null : new SplittableRandom(seed + i);
            all.add(
                    threads.submit(
                            () -> play(attack, "a-" + run + "-" + attack.name() + ".", cuts)));
        }
        List<Outcome> outcomes = new ArrayList<>();
        for (int i = 0; i < all.size(); i++) {
            try {
                outcomes.add(all.get(i).get());
            } catch (ExecutionException e) {
                outcomes.add(
                        new Outcome(
                                attacks.get(i),
                                List.of(),
                                0,
                                false,
                                -1,
                                -1,
                                List.of("can't be played: " + e.getCause())));
            }
        }
        return outcomes;
    }

    private Outcome play(Attack attack, String id, SplittableRandom cuts)
            throws IOException, InterruptedException {
        int patience = attack.owed().withinMillis() * slack + MARGIN_MILLIS;
        try (Wire wire = new Wire(to, words, id, patience, cuts, false)) {
            attack.script().play(wire);
            wire.finish(attack.owed());
            return judge(attack, wire, id);
        }
    }

    private Outcome judge(Attack attack, Wire wire, String id) {
        ExpectedAnswer owed = attack.owed();
        List<String> wrongs = new ArrayList<>(wire.wrongs());
        List<Integer> statuses = wire.answers().stream().map(Answer::status).toList();
        if (statuses.size() < owed.answers() && !(owed.closeDoes() && wire.ended())) {
            wrongs.add(owed.answers() + " answers are owed");
        }
        statuses.stream()
                .filter(s -> !allows(owed, s))
                .findFirst()
                .ifPresent(s -> wrongs.add(s + " is not owed"));
        if (owed.end() == ExpectedAnswer.End.CLOSED && !wire.ended()) {
            wrongs.add("not closed");
        } else if (owed.end() != ExpectedAnswer.End.CLOSED
                && !wire.ended()
                && !Boolean.TRUE.equals(wire.inStep())) {
            wrongs.add("out of step: a sound request behind it got no answer of its own");
        } else if (owed.end() == ExpectedAnswer.End.OPEN && wire.ended()) {
            wrongs.add("closed");
        }
        if (wire.millis() < 0 || wire.millis() > owed.withinMillis() * slack) {
            wrongs.add("late");
        }
        int reached = nodes == null ? -1 : judgeReached(owed, wire, id, wrongs);
        return new Outcome(
                attack,
                statuses,
                wire.interim(),
                wire.ended(),
                wire.millis(),
                reached,
                List.copyOf(wrongs));
    }

    /** Nodes that are not ours may refuse or fail what is owed to be served. */
    private boolean allows(ExpectedAnswer owed, int status) {
        return owed.statuses().contains(status)
                || nodes == null
                        && owed.statuses().contains(200)
                        && (status == 502 || status == 503);
    }

    private int judgeReached(ExpectedAnswer owed, Wire wire, String id, List<String> wrongs) {
        List<DeliveredRequest> all =
                nodes.reached(id).stream().filter(r -> !r.id().endsWith(Wire.AFTER)).toList();
        all.stream()
                .filter(r -> r.unsound() != null)
                .findFirst()
                .ifPresent(r -> wrongs.add("a node got an unsound " + r.unsound()));
        long unread = all.stream().filter(r -> r.id().contains(SustainedAttacks.UNREAD_ID)).count();
        if (unread > MAX_UNREAD) {
            wrongs.add(unread + " requests were passed on whose answers nobody reads");
        }
        List<String> served =
                wire.answers().stream()
                        .filter(a -> a.status() == 200)
                        .map(Answer::body)
                        .filter(body -> body.startsWith(id))
                        .toList();
        if (wire.answers().stream()
                .anyMatch(
                        a ->
                                a.status() == 200
                                        && !a.body().startsWith(id)
                                        && !a.body().equals(HEALTHY)
                                        && !a.body().isEmpty())) {
            wrongs.add("an answer made for another");
        }
        if (!served.equals(served.stream().sorted().toList())) {
            wrongs.add("answers out of order");
        }
        long heard = all.size() - unread;
        if (heard != (owed.reaches() ? served.size() : 0)) {
            wrongs.add(
                    heard + " requests reached a node, " + served.size() + " were answered by one");
        }
        return all.size();
    }

    @Override
    public void close() {
        threads.shutdownNow();
    }
}
