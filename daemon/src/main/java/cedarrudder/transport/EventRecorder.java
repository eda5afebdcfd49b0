package cedarrudder.transport;

import java.util.Map;

/**
 * Records the events of this replica in a history that is checked afterwards. Called on the event
 * loop, which it must not block.
 */
public interface EventRecorder {

    /**
     * Records an event that occurred now.
     *
     * @param what the event, as one word
     * @param fields the event's details: texts and whole numbers
     */
    void record(String what, Map<String, ?> fields);
}
