package cedarrudder.membership;

import cedarrudder.membership.SwimMessage.MemberUpdate;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * The updates that still have to be disseminated, only the newest of each instance. The least often
 * sent update goes first, and an update is dropped after its maximum number of transmissions (SWIM,
 * 4.1 and 5). The queue has at most one update per instance.
 */
final class GossipQueue {
    private static final int NOT_QUEUED = -1;

    /**
     * The updates by instance, in one map for each number of transmissions, which is the index in
     * the list; each map is in the order of waiting time, the longest first.
     */
    private final List<Map<Integer, MemberUpdate>> bySendCount = new ArrayList<>();

    /**
     * The number of transmissions of each instance's update; {@link #NOT_QUEUED} if there is none.
     */
    private final int[] sendCounts;

    private int size;

    GossipQueue(int instances) {
        sendCounts = new int[instances];
        Arrays.fill(sendCounts, NOT_QUEUED);
        bySendCount.add(new LinkedHashMap<>());
    }

    /** Queues an update, replacing an earlier one of the same instance. */
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
     * Fills a message with updates and counts each of them as sent.
     *
     * @param maxTransmissions how often an update is sent
     */
    void fill(GossipMessage message, int maxTransmissions) {
        while (bySendCount.size() <= maxTransmissions) {
            bySendCount.add(new LinkedHashMap<>());
        }
        // The maximum falls when fewer instances are live, so updates may have been sent too often
        // already.
        for (int count = bySendCount.size() - 1; count >= maxTransmissions; count--) {
            removeAll(bySendCount.get(count));
        }
        for (MemberUpdate update : addTo(message, maxTransmissions)) {
            requeue(update, maxTransmissions);
        }
    }

    private List<MemberUpdate> addTo(GossipMessage message, int maxTransmissions) {
        List<MemberUpdate> added = new ArrayList<>();
        for (int count = 0; count < maxTransmissions && !message.isFull(); count++) {
            Iterator<MemberUpdate> updates = bySendCount.get(count).values().iterator();
            while (!message.isFull() && updates.hasNext()) {
                MemberUpdate update = updates.next();
                if (message.add(update)) {
                    updates.remove();
                    added.add(update);
                }
            }
        }
        return added;
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

    /** Returns the number of queued updates. */
    int size() {
        return size;
    }
}
