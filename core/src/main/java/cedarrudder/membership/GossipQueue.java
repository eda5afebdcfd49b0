package cedarrudder.membership;

import cedarrudder.membership.SwimMessage.MemberUpdate;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The updates that are to be passed on, the newest of each instance only: what was sent least often
 * goes first, and after enough times no more (SWIM, 4.1 and 5). It holds no more updates than there
 * are instances.
 */
final class GossipQueue {
    private static final int NOT_QUEUED = -1;

    /**
     * The updates by how often they were sent, which is their place in the list, and by instance;
     * in each map the one that has waited longest comes first.
     */
    private final List<Map<Integer, MemberUpdate>> bySendCount = new ArrayList<>();

    /** How often the update of each instance was sent; {@link #NOT_QUEUED} where there is none. */
    private final int[] sendCounts;

    private int size;

    GossipQueue(int instances) {
        sendCounts = new int[instances];
        Arrays.fill(sendCounts, NOT_QUEUED);
        bySendCount.add(new LinkedHashMap<>());
    }

    /** Queues an update in place of an earlier one of the same instance. */
    void add(MemberUpdate update) {
        int number = update.member().number();
        if (sendCounts[number] == NOT_QUEUED) {
            size++;
        } else {
            bySendCount.get(sendCounts[number]).remove(number);
        }
        sendCounts[number] = 0;
        bySendCount.get(0).put(number, update);
    }

    /**
     * Fills a message with updates, which count as sent.
     *
     * @param maxTransmissions how often an update is sent
     */
    void fill(GossipMessage message, int maxTransmissions) {
        while (bySendCount.size() <= maxTransmissions) {
            bySendCount.add(new LinkedHashMap<>());
        }
        // Fewer instances are live than before: updates may have been sent too often already.
        for (int count = bySendCount.size() - 1; count >= maxTransmissions; count--) {
            removeAll(bySendCount.get(count));
        }
        for (MemberUpdate update : take(message, maxTransmissions)) {
            requeue(update, maxTransmissions);
        }
    }

    private List<MemberUpdate> take(GossipMessage message, int maxTransmissions) {
        List<MemberUpdate> taken = new ArrayList<>();
        for (int count = 0; count < maxTransmissions && !message.isFull(); count++) {
            Iterator<MemberUpdate> updates = bySendCount.get(count).values().iterator();
            while (!message.isFull() && updates.hasNext()) {
                MemberUpdate update = updates.next();
                if (message.add(update)) {
                    updates.remove();
                    taken.add(update);
                }
            }
        }
        return taken;
    }

    private void requeue(MemberUpdate update, int maxTransmissions) {
        int number = update.member().number();
        sendCounts[number]++;
        if (sendCounts[number] < maxTransmissions) {
            bySendCount.get(sendCounts[number]).put(number, update);
        } else {
            sendCounts[number] = NOT_QUEUED;
            size--;
        }
    }

    private void removeAll(Map<Integer, MemberUpdate> updates) {
        for (int number : updates.keySet()) {
            sendCounts[number] = NOT_QUEUED;
            size--;
        }
        updates.clear();
    }

    /** How many updates are queued. */
    int size() {
        return size;
    }
}
