package cedarrudder.lab.checker;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashSet;
import java.util.Set;

/**
 * When each replica could last hear of a majority of the voters: by replicas that speak and ways of
 * which one direction at least is whole. As long as no voters were told of, all can.
 */
final class MajorityContact {

    /**
     * What lasted for less than this between two changes is not looked at: a cut is told way by
     * way.
     */
    private static final long BURST = 1_000_000L;

    private final ProcessTimeline world = new ProcessTimeline();
    private Set<Integer> voters = Set.of();
    private String group = "";
    private long index = -1;

    /**
     * When each replica last had contact, as far as looked at; and which have it since the last
     * change.
     */
    private long[] last = new long[0];

    private boolean[] now = new boolean[0];
    private long changedAt;
    private boolean looked = true;

    void took(HistoryEvent event) {
        switch (event.what()) {
            case "speaks", "silent", "ended", "stopped", "continued", "cut", "healed" ->
                    changes(event);
            case "seated" -> {
                String of = event.text("group");
                if (of.compareTo(group) > 0 || of.equals(group) && event.number("index") > index) {
                    changes(event);
                    group = of;
                    index = event.number("index");
                    voters = new HashSet<>();
                    for (String voter : event.text("voters").split(",")) {
                        voters.add(Integer.parseInt(voter.split(":")[0]));
                    }
                }
            }
            default -> {}
        }
        world.took(event);
    }

    /** What was so until now is kept. */
    private void changes(HistoryEvent event) {
        if (event.at() - changedAt > BURST || looked) {
            look(event.at());
            changedAt = event.at();
            looked = false;
        }
    }

    /** When a replica could last hear of a majority, up to this instant. */
    long last(int replica, long at) {
        look(at);
        return replica < last.length ? last[replica] : at;
    }

    private void look(long at) {
        if (!looked) {
            find();
            looked = true;
        }
        for (int replica = 0; replica < now.length; replica++) {
            if (now[replica]) {
                last[replica] = at;
            }
        }
    }

    private void find() {
        int count = world.replicas().stream().mapToInt(replica -> replica + 1).max().orElse(0);
        if (count > last.length) {
            int before = last.length;
            last = Arrays.copyOf(last, count);
            Arrays.fill(last, before, count, changedAt);
        }
        now = new boolean[count];
        boolean[] seen = new boolean[count];
        for (int replica : world.replicas()) {
            if (!seen[replica] && world.speaks(replica)) {
                Set<Integer> together = together(replica, seen);
                boolean max =
                        voters.stream().filter(together::contains).count() * 2 > voters.size();
                together.forEach(each -> now[each] = max || voters.isEmpty());
            }
        }
    }

    private Set<Integer> together(int from, boolean[] seen) {
        Set<Integer> together = new HashSet<>(Set.of(from));
        Deque<Integer> next = new ArrayDeque<>(together);
        seen[from] = true;
        while (!next.isEmpty()) {
            int one = next.remove();
            for (int other : world.replicas()) {
                if (!seen[other] && world.speaks(other) && world.oneWay(one, other)) {
                    seen[other] = true;
                    together.add(other);
                    next.add(other);
                }
            }
        }
        return together;
    }
}
