package cedarrudder.coordination;

import java.util.Map;

/**
 * One event of a replica's history, in the words of {@code docs/AGREEMENT.md}.
 *
 * @param event its name
 * @param fields what else is known of it, as text
 */
public record HistoryEntry(String event, Map<String, String> fields) {}
