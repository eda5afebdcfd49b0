import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * One proxy before eight nodes, 60 requests a second. With the trouble, one in twenty answers of the nodes never
 * ends: its head declares 2,000 bytes, and a byte of them comes every 100 ms for as long as the proxy keeps the
 * connection. Each client waits for its answer, or the end of its connection, up to 8 s after its deadline.
 */
final class EndlessAnswer {

    private static final int NODES = 8;
    private static final int RATE = 60;
    private static final int SECONDS = 25;
    private static final int WAIT_ON_MS = 8000;
    private static final double SPOILT = 0.05;

    /** Half a second after its time an answer still counts; each limit grows by 50 ms. */
    private static final double ALLOWED = 0.550;

    public static void main(String[] args) throws Exception {
        int exit = 2;
        try {
            exit = run(Path.of(args[0]), Path.of(args[1]), !"0".equals(args[2]));
        } catch (Exception e) {
            e.printStackTrace();
        }
        System.exit(exit);
    }

    private static int run(Path root, Path record, boolean trouble) throws Exception {
        AtomicInteger spoilt = new AtomicInteger();
        try (Rig rig = new Rig(root, record)) {
            Random chance = new Random(42);
            for (int i = 0; i < NODES; i++) {
                rig.addNode("node-" + i, i / 4, (node, request, wire) -> {
                    double work;
                    boolean spoil;
                    synchronized (chance) {
                        work = 8 + chance.nextDouble() * 40;
                        spoil = trouble && chance.nextDouble() < SPOILT;
                    }
                    Rig.sleep(work);
                    String id = request.field("req-id");
                    if (!spoil) {
                        wire.answer(200, "", node.id + " ran " + id + "\n");
                        rig.note("node " + node.id + " answered " + id);
                        return;
                    }
                    spoilt.incrementAndGet();
                    rig.note("node " + node.id + " begins an answer to " + id + " that never ends");
                    wire.write("HTTP/1.1 200 OK\r\nContent-Length: 2000\r\n\r\n");
                    try {
                        for (int sent = 0; sent < 1999; sent++) {
                            wire.write("x");
                            Rig.sleep(100);
                        }
                    } catch (IOException e) {
                        rig.note("the proxy ended the connection of " + id + " to " + node.id);
                        throw e;
                    }
                });
            }
            Rig.Proxy proxy = rig.startProxy("n1");
            if (!proxy.awaitReady()) {
                System.out.println("the proxy was not ready");
                return 2;
            }
            Rig.Clients clients = rig.new Clients(proxy.port);
            ConcurrentLinkedQueue<Rig.Seen> seen = new ConcurrentLinkedQueue<>();
            ExecutorService callers = Executors.newCachedThreadPool(Rig::daemon);
            Random arrivals = new Random(7);
            long next = System.nanoTime();
            int sent = 0;
            for (long end = next + SECONDS * 1_000_000_000L; next < end; sent++) {
                next += (long) (-Math.log(1 - arrivals.nextDouble()) * 1e9 / RATE);
                Rig.sleep(Math.max(0, (next - System.nanoTime()) / 1e6));
                String id = "r" + sent;
                double draw = arrivals.nextDouble();
                Rig.Kind kind = draw < 0.5 ? Rig.STATUS : draw < 0.78 ? Rig.SINGLE : Rig.BATCH;
                callers.execute(() -> {
                    rig.note("client sends " + id + " " + kind.name() + ", deadline " + deadline(kind) + " ms");
                    Rig.Seen one = clients.call(kind, id, deadline(kind), WAIT_ON_MS);
                    rig.note("client " + id + " got " + one.status() + " " + one.how() + " after "
                            + Math.round(1000 * (one.endedAt() - one.sentAt())) + " ms");
                    seen.add(one);
                });
            }
            callers.shutdown();
            callers.awaitTermination(20, TimeUnit.SECONDS);
            return judge(rig, List.copyOf(seen), sent, spoilt.get(), proxy.process.isAlive());
        }
    }

    private static int deadline(Rig.Kind kind) {
        return kind.giveUp() * 4 / 5;
    }

    private static int judge(Rig rig, List<Rig.Seen> all, int sent, int spoilt, boolean alive) {
        int served = 0;
        int failed = 0;
        int never = sent - all.size();
        int open = 0;
        for (Rig.Seen one : all) {
            double late = one.endedAt() - one.sentAt() - deadline(one.kind()) / 1000.0;
            boolean end = one.status() > 0 || !one.how().startsWith("no ");
            if (!end || late > ALLOWED) {
                never++;
                open += end ? 0 : 1;
                rig.note("LOST: " + one.id() + " (" + one.kind().name() + ") had no final answer and an open connection "
                        + ALLOWED + " s after its deadline; " + one.how());
            } else if (one.status() == 200) {
                served++;
            } else {
                failed++;
            }
        }
        String result = "sent " + sent + ", served " + served + ", refused, failed or ended " + failed
                + ", endless answers of nodes " + spoilt + ", without a final answer in time " + never
                + ", of these still open " + WAIT_ON_MS + " ms after the deadline " + open + ", proxy alive " + alive;
        rig.note(result);
        System.out.println(result);
        if (served == 0 || !alive) {
            return 2;
        }
        return never > 0 ? 1 : 0;
    }
}
