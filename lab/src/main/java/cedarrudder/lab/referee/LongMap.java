package cedarrudder.lab.referee;

/**
 * A map from numbers to objects: open addressing with linear probing, at most half full, so that a
 * look-up costs no object and a step or two. Not for use by several threads.
 */
final class LongMap<V> {
    private long[] keys = new long[64];
    private Object[] values = new Object[64];
    private int size;

    private int slot(long key) {
        long z = (key ^ (key >>> 32)) * 0x9E3779B97F4A7C15L;
        return (int) (z >>> 40) & (keys.length - 1);
    }

    private int find(long key) {
        int at = slot(key);
        while (values[at] != null && keys[at] != key) {
            at = (at + 1) & (keys.length - 1);
        }
        return at;
    }

    @SuppressWarnings("unchecked") // only put writes values
    V get(long key) {
        return (V) values[find(key)];
    }

    /** Maps a key to a value, which must not be null. */
    void put(long key, V value) {
        int at = find(key);
        if (values[at] == null) {
            size++;
        }
        keys[at] = key;
        values[at] = value;
        if (size * 2 > keys.length) {
            grow();
        }
    }

    private void grow() {
        long[] oldKeys = keys;
        Object[] oldValues = values;
        keys = new long[oldKeys.length * 2];
        values = new Object[oldKeys.length * 2];
        for (int i = 0; i < oldKeys.length; i++) {
            if (oldValues[i] != null) {
                int at = find(oldKeys[i]);
                keys[at] = oldKeys[i];
                values[at] = oldValues[i];
            }
        }
    }

    /** Takes a key out; what was displaced by it moves up, so that no graves are left. */
    void remove(long key) {
        int gap = find(key);
        if (values[gap] == null) {
            return;
        }
        size--;
        values[gap] = null;
        int mask = keys.length - 1;
        for (int at = (gap + 1) & mask; values[at] != null; at = (at + 1) & mask) {
            int home = slot(keys[at]);
            if (((at - home) & mask) >= ((at - gap) & mask)) {
                keys[gap] = keys[at];
                values[gap] = values[at];
                values[at] = null;
                gap = at;
            }
        }
    }

    int size() {
        return size;
    }
}
