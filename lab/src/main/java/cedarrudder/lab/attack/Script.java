package cedarrudder.lab.attack;

import java.io.IOException;

/** What an attacker does on a connection; the answers owed are read behind it. */
@FunctionalInterface
public interface Script {

    /** Plays it; that the other side ends the connection meanwhile is no fault of the script. */
    void play(Wire wire) throws IOException, InterruptedException;
}
