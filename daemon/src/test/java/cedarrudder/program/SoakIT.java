package cedarrudder.program;

import static org.testng.Assert.assertEquals;

import cedarrudder.program.ProxyHarness.Client;
import java.nio.file.Files;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.testng.annotations.Test;

/**
 * Restarts a real process once for each seed. Clients keep using open connections until SIGKILL,
 * which comes at the earliest instant that the platform allows; signals come in series; some runs
 * have many idle clients.
 *
 * <p>Known failure: beside {@code ShortageIT}, connections that are closed between two requests are
 * reset. In the run that was sampled the failing restarts ended while {@code mem} of
 * /proc/net/sockstat was over the first bound of tcp_mem, and TCPAbortOnData grew by 4 and 8. That
 * the kernel delays the end of a connection then is suspected; no packet was traced.
 *
 * <p>A long run is started by hand: {@code mvn -B verify -pl daemon -am -Dit.test=SoakIT
 * -Dfailsafe.failIfNoSpecifiedTests=false -Dsoak.seeds=50 -Dsoak.first=1}.
 */
public class SoakIT {

    private static final int SEEDS = Integer.getInteger("soak.seeds", 12);
    private static final long FIRST_SEED = Long.getLong("soak.first", 1);

    /**
     * The longest deadline, of 3 s, and 0.7 s: the platform sends SIGKILL no sooner after SIGTERM.
     */
    private static final long KILL_AFTER_MILLIS = 3_700;

    private static final int MAX_HANGUPS = 8;
    private static final int MAX_SERVICE_MILLIS = 40;
    private static final int IDLE_CLIENTS = 300;
    private static final int SERVED_BEFORE = 100;

    /**
     * No request may be lost or run twice, and the process must end with the expected exit code.
     */
    @Test
    public void aRestartLosesNothing() throws Exception {
        List<String> problems = new ArrayList<>();
        for (long seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            problems.addAll(restart(seed));
        }
        assertEquals(problems, List.of());
    }

    private static List<String> restart(long seed) throws Exception {
        Random random = new Random(seed);
        List<Client> idleClients = new ArrayList<>();
        Map<String, Integer> runs = new ConcurrentHashMap<>();
        try (ProxyHarness harness = new ProxyHarness(3);
                ProxyUnderTest proxy =
                        new ProxyUnderTest(harness, Files.createTempDirectory("soak"))) {
            int serviceMillis = random.nextInt(MAX_SERVICE_MILLIS);
            TestEndpoints.handleRequests(
                    harness,
                    request -> {
                        runs.merge(request.field("Req-Id"), 1, Integer::sum);
                        Thread.sleep(serviceMillis);
                        request.reply("200 OK", "done");
                    });
            TestEndpoints.serveFullList(harness);
            proxy.awaitReady();
            for (int i = random.nextInt(3) == 0 ? IDLE_CLIENTS : 0; i > 0; i--) {
                idleClients.add(harness.client());
            }
            PersistentClients clients = new PersistentClients(harness, random);
            start(clients, "old-", 8 + random.nextInt(24), 0);
            clients.awaitServed(SERVED_BEFORE);
            hangUp(proxy, random);
            long signalledAt = System.nanoTime();
            proxy.signal("TERM");
            start(clients, "new-", 1 + random.nextInt(24), 200 + random.nextInt(100));
            hangUp(proxy, random);
            long sinceSignal = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - signalledAt);
            boolean ended =
                    proxy.process.waitFor(KILL_AFTER_MILLIS - sinceSignal, TimeUnit.MILLISECONDS);
            if (!ended) {
                proxy.kill();
            }
            clients.awaitEnds();
            System.out.println("SoakIT: seed " + seed + ", ended " + ended + ", " + clients);
            List<String> problems = problems(seed, proxy, clients, runs, ended);
            if (!problems.isEmpty()) {
                System.out.println(String.join("\n", problems) + "\n" + proxy.rest());
            }
            return problems;
        } finally {
            for (Client client : idleClients) {
                client.close();
            }
        }
    }

    private static void start(PersistentClients clients, String name, int count, int withinMillis)
            throws InterruptedException {
        for (int i = 0; i < count; i++) {
            clients.start(name + i + "-");
            Thread.sleep(withinMillis / count);
        }
    }

    /** Sends a series of SIGHUP; none goes to a process that has ended. */
    private static void hangUp(ProxyUnderTest proxy, Random random) throws Exception {
        for (int i = random.nextInt(MAX_HANGUPS); i > 0 && proxy.process.isAlive(); i--) {
            proxy.signal("HUP");
            Thread.sleep(random.nextInt(20));
        }
    }

    private static List<String> problems(
            long seed,
            ProxyUnderTest proxy,
            PersistentClients clients,
            Map<String, Integer> runs,
            boolean ended) {
        List<String> problems = new ArrayList<>();
        if (!clients.allEndedInOrder()) {
            problems.add("seed " + seed + ": " + clients);
        }
        runs.forEach(
                (request, times) -> {
                    if (times > 1) {
                        problems.add("seed " + seed + ": " + request + " ran " + times + " times");
                    }
                });
        if (ended && proxy.process.exitValue() != ProxyUnderTest.TERMINATED) {
            problems.add("seed " + seed + ": ended with " + proxy.process.exitValue());
        }
        return problems;
    }
}
