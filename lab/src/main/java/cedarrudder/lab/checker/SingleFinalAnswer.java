package cedarrudder.lab.checker;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * One final answer for each request that a replica took and that its process outlived. Words of
 * clients: {@code asked} when the request was sent whole, {@code answered} for each final answer,
 * {@code broke} where the connection ended without one or the client gave up; each with the {@code
 * rpc}. Nothing is owed by a process that was killed or stood still meanwhile, nor for what was
 * asked so long after its last process was told to end that it need not listen any more.
 */
public final class SingleFinalAnswer implements Invariant {

    private static final String NAME = "one answer";

    private final long patience;
    private final long listens;
    private final int atTheDoor;
    private final Map<String, HistoryEvent> open = new HashMap<>();
    private final Map<String, HistoryEvent> answered = new HashMap<>();
    private final Map<Integer, Long> toldAt = new HashMap<>();
    private final Map<Integer, Set<Long>> incarnations = new HashMap<>();
    private final Map<Integer, Integer> doors = new HashMap<>();
    private final Set<Integer> excused = new HashSet<>();
    private final List<Violation> breaches = new ArrayList<>();
    private long asked;

    /**
     * @param patience by then an answer is there, from when it was asked; nanoseconds
     * @param listens a process that is told to end takes requests for this long; nanoseconds
     * @param atTheDoor this many connections may be reset when one of two processes closes its
     *     door: what the users allow an upgrade, since the kernel gives no way to prevent it
     */
    public SingleFinalAnswer(long patience, long listens, int atTheDoor) {
        this.patience = patience;
        this.listens = listens;
        this.atTheDoor = atTheDoor;
    }

    @Override
    public void took(HistoryEvent event) {
        switch (event.what()) {
            case "asked" -> {
                asked++;
                Long told = toldAt.get(event.replica());
                if (!excused.contains(event.replica())
                        && (told == null || event.at() <= told + listens)) {
                    open.put(event.text("rpc"), event);
                }
            }
            case "answered" -> {
                if (answered.put(event.text("rpc"), event) != null) {
                    breaches.add(
                            new Violation(
                                    NAME,
                                    event.at(),
                                    "RPC "
                                            + event.text("rpc")
                                            + " of copy "
                                            + event.replica()
                                            + " got two answers"));
                }
                check(event, open.remove(event.text("rpc")));
            }
            case "broke" -> broke(event);
            case "started" -> {
                incarnations
                        .computeIfAbsent(event.replica(), replica -> new HashSet<>())
                        .add(event.incarnation());
                toldAt.remove(event.replica());
                excused.remove(event.replica());
            }
            case "told" -> {
                if (incarnations.getOrDefault(event.replica(), Set.of()).size() < 2) {
                    toldAt.put(event.replica(), event.at());
                } else {
                    doors.put(event.replica(), atTheDoor);
                }
            }
            case "ended" ->
                    incarnations
                            .computeIfAbsent(event.replica(), c -> new HashSet<>())
                            .remove(event.incarnation());
            case "doomed", "stopped" -> {
                excused.add(event.replica());
                open.values().removeIf(each -> each.replica() == event.replica());
            }
            case "continued" -> excused.remove(event.replica());
            default -> {}
        }
    }

    private void broke(HistoryEvent event) {
        if (open.remove(event.text("rpc")) == null) {
            return;
        }
        int left = doors.getOrDefault(event.replica(), 0);
        if (left > 0) {
            doors.put(event.replica(), left - 1);
        } else {
            breaches.add(
                    new Violation(
                            NAME,
                            event.at(),
                            "RPC "
                                    + event.text("rpc")
                                    + " that copy "
                                    + event.replica()
                                    + " took got no answer: "
                                    + event.text("why")));
        }
    }

    private void check(HistoryEvent answer, HistoryEvent asked) {
        if (asked != null && answer.at() - asked.at() > patience) {
            breaches.add(
                    new Violation(
                            NAME,
                            answer.at(),
                            "RPC "
                                    + asked.text("rpc")
                                    + " of copy "
                                    + asked.replica()
                                    + " was answered after "
                                    + (answer.at() - asked.at()) / 1_000_000
                                    + " ms"));
        }
    }

    @Override
    public void ended(long at) {
        for (HistoryEvent each : open.values()) {
            if (at - each.at() > patience) {
                breaches.add(
                        new Violation(
                                NAME,
                                at,
                                "RPC "
                                        + each.text("rpc")
                                        + " of copy "
                                        + each.replica()
                                        + " never got an answer"));
            }
        }
    }

    /** requests that were asked. */
    public long asked() {
        return asked;
    }

    @Override
    public List<Violation> breaches() {
        return breaches;
    }
}
