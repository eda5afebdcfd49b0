package cedarrudder.lab.attack;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertTrue;

import cedarrudder.balancer.Await;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import org.testng.annotations.Test;

/** The whole library against the built daemon. */
public class AttackIT {

    private static final Path JAR = Path.of("daemon", "target", "cedarrudder.jar");
    private static final long SEED = 9;

    /**
     * Times may be this many times what is owed: a machine short of cores is no fault of the
     * daemon.
     */
    private static final int SLACK = 5;

    private static String wrong(List<Outcome> outcomes) {
        return outcomes.stream()
                .filter(o -> !o.ok())
                .map(o -> o.attack().name() + " got " + o.got() + ": " + o.wrongs())
                .collect(Collectors.joining("\n"));
    }

    @Test
    public void everyAttackGetsWhatItIsOwedWholeAndInPieces() throws Exception {
        List<Attack> inOnePiece =
                AttackCatalog.all().stream().filter(a -> a.text() != null).toList();
        try (OwnDaemon daemon = new OwnDaemon(JAR, List.of(), 1024);
                Player player = daemon.player(SLACK)) {
            assertEquals(wrong(player.play(AttackCatalog.all(), "whole", null)), "");
            assertEquals(wrong(player.play(inOnePiece, "cut", SEED)), "", "seed " + SEED);
            assertEquals(daemon.nameless(), 0);
            assertTrue(daemon.healthy());
        }
    }

    /** A daemon must not outlive whoever started it. */
    @Test
    public void theDaemonEndsWithItsOwner() throws Exception {
        ProcessHandle handle;
        try (OwnDaemon daemon = new OwnDaemon(JAR, List.of(), 64)) {
            handle = daemon.handle();
            assertTrue(handle.isAlive());
            daemon.dropLeash();
            Await.end("the daemon's end", handle);
        }
    }
}
