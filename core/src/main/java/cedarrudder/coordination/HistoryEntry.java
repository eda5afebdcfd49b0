package cedarrudder.coordination;

import java.util.Map;

/**
 * An event of a replica's history, with the names that {@code docs/AGREEMENT.md} defines.
 *
 * @param event the name of the event
 * @param fields the fields of the event, as text
 */
public record HistoryEntry(String event, Map<String, String> fields) {}
