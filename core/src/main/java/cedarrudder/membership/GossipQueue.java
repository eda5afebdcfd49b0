package cedarrudder.membership;

import cedarrudder.membership.SwimMessage.MemberUpdate;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The news that is to be passed on, the newest of each instance alone: what has gone out least
 * often goes first, and after enough times no more (SWIM, 4.1 and 5). So it holds no more than
 * there are instances.
 */
final class GossipQueue {

    /**
     * What went out this many times, by the place in the list; in each the one that waits longest
     * is first.
     */
    private final List<Map<Integer, MemberUpdate>> byTimes = new ArrayList<>();

    /** How often the news of each instance went out; -1 where none waits. */
    private final int[] times;

    private int waiting;

    GossipQueue(int instances) {
        times = new int[instances];
        Arrays.fill(times, -1);
        byTimes.add(new LinkedHashMap<>());
    }

    /** Takes news, in place of what waits of the same instance. */
    void add(MemberUpdate news) {
        int number = news.member().number();
        if (times[number] >= 0) {
            byTimes.get(times[number]).remove(number);
        } else {
            waiting++;
        }
        times[number] = 0;
        byTimes.get(0).put(number, news);
    }

    /**
     * Takes what goes into a message.
     *
     * @param message has room for some
     * @param max a piece goes out so often
     */
    void fill(GossipMessage message, int max) {
        while (byTimes.size() <= max) {
            byTimes.add(new LinkedHashMap<>());
        }
        for (int sent = byTimes.size() - 1; sent >= max; sent--) {
            remove(byTimes.get(sent)); // fewer live than before
        }
        List<MemberUpdate> taken = new ArrayList<>();
        for (int sent = 0; sent < max && !message.isFull(); sent++) {
            Iterator<MemberUpdate> each = byTimes.get(sent).values().iterator();
            while (!message.isFull() && each.hasNext()) {
                MemberUpdate piece = each.next();
                if (message.add(piece)) {
                    each.remove();
                    taken.add(piece);
                }
            }
        }
        for (MemberUpdate piece : taken) {
            int number = piece.member().number();
            if (++times[number] >= max) {
                times[number] = -1;
                waiting--;
            } else {
                byTimes.get(times[number]).put(number, piece);
            }
        }
    }

    private void remove(Map<Integer, MemberUpdate> pieces) {
        for (int number : pieces.keySet()) {
            times[number] = -1;
            waiting--;
        }
        pieces.clear();
    }

    /** Pieces that wait. */
    int size() {
        return waiting;
    }
}
