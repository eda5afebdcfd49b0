package cedarrudder.lab.model;

import java.util.Arrays;

/**
 * A map from numbers other than 0 to objects: open addressing, without boxes. The order in which it
 * is walked follows from the keys alone and the order in which they came.
 */
final class LongMap<V> {

    private long[] keys = new long[16];
    private Object[] values = new Object[16];
    private int size;

    private int slot(long key) {
        int mask = keys.length - 1;
        int at = (int) (HashRandom.of(0, key) & mask);
        while (keys[at] != 0 && keys[at] != key) {
            at = at + 1 & mask;
        }
        return at;
    }

    @SuppressWarnings("unchecked")
    V get(long key) {
        return (V) values[slot(key)];
    }

    int size() {
        return size;
    }

    void put(long key, V value) {
        if (size * 2 >= keys.length) {
            long[] oldKeys = keys;
            Object[] oldValues = values;
            keys = new long[2 * oldKeys.length];
            values = new Object[2 * oldKeys.length];
            for (int i = 0; i < oldKeys.length; i++) {
                if (oldKeys[i] != 0) {
                    int at = slot(oldKeys[i]);
                    keys[at] = oldKeys[i];
                    values[at] = oldValues[i];
                }
            }
        }
        int at = slot(key);
        if (keys[at] == 0) {
            keys[at] = key;
            size++;
        }
        values[at] = value;
    }

    /** Takes a key out and moves up those behind it that stand there for want of room. */
    V remove(long key) {
        int at = slot(key);
        @SuppressWarnings("unchecked")
        V removed = (V) values[at];
        if (keys[at] == 0) {
            return null;
        }
        int mask = keys.length - 1;
        keys[at] = 0;
        values[at] = null;
        size--;
        for (int i = at + 1 & mask; keys[i] != 0; i = i + 1 & mask) {
            long moved = keys[i];
            Object value = values[i];
            keys[i] = 0;
            values[i] = null;
            int to = slot(moved);
            keys[to] = moved;
            values[to] = value;
        }
        return removed;
    }

    /** The keys, in the order of the table. */
    long[] keys() {
        long[] all = new long[size];
        int count = 0;
        for (long key : keys) {
            if (key != 0) {
                all[count++] = key;
            }
        }
        return Arrays.copyOf(all, count);
    }
}
