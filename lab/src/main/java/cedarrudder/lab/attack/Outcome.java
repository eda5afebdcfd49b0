package cedarrudder.lab.attack;

import java.util.List;

/**
 * What became of an attack.
 *
 * @param statuses of the final answers
 * @param interim answers before them
 * @param closed whether the connection ended
 * @param millis until the first final answer or the end; -1: neither came
 * @param reached requests of it that reached a node; -1: the nodes are not ours to see
 * @param wrongs what it got that it isn't owed; empty: all is well
 */
public record Outcome(
        Attack attack,
        List<Integer> statuses,
        int interim,
        boolean closed,
        int millis,
        int reached,
        List<String> wrongs) {

    public boolean ok() {
        return wrongs.isEmpty();
    }

    /** What it got, in a few words. */
    public String got() {
        StringBuilder text = new StringBuilder();
        if (interim > 0) {
            text.append("100 ");
        }
        if (statuses.size() > 3) {
            text.append(statuses.get(0)).append(" x").append(statuses.size());
        } else {
            statuses.forEach(s -> text.append(s).append(' '));
        }
        return text.append(closed ? " close" : "").toString().strip().replace("  ", " ");
    }
}
