package cedarrudder.transport;

import java.util.Map;

/**
 * Takes what happens to this replica, for a history that is judged afterwards; on the loop, which
 * never waits for it.
 */
public interface EventRecorder {

    /**
     * Something happened now.
     *
     * @param what a word
     * @param fields what else is known of it: texts and whole numbers
     */
    void record(String what, Map<String, ?> fields);
}
