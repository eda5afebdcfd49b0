package kit;

import java.io.IOException;
import java.io.InputStream;
import java.io.PrintWriter;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;

/**
 * The frame of a case: its record, its temporary folder, free ports, the proxies that it starts by the
 * command of the deploy file, and the end of all of them.
 */
public final class Kit {
    /** Whether the disruption takes place. */
    public static final boolean TROUBLE = !"0".equals(System.getenv("TROUBLE"));

    private static final long BEGAN = System.nanoTime();
    private static final List<Proxy> PROXIES = new ArrayList<>();
    private static PrintWriter record;
    private static Path root;
    private static Path temporary;
    private static int broken;

    private Kit() {}

    /** Starts a case; the arguments are the repository's root and the case's folder. */
    public static void open(String[] arguments) throws IOException {
        root = Path.of(arguments[0]);
        record = new PrintWriter(Files.newBufferedWriter(Path.of(arguments[1], "record.txt")), false);
        temporary = Files.createTempDirectory("review-");
        Runtime.getRuntime().addShutdownHook(new Thread(Kit::cleanUp));
        Thread.setDefaultUncaughtExceptionHandler(
                (thread, failure) -> {
                    note("the case failed: " + failure);
                    end(2);
                });
        Thread limit =
                new Thread(
                        () -> {
                            sleep(110_000);
                            note("the case took too long");
                            end(2);
                        });
        limit.setDaemon(true);
        limit.start();
        note("trouble " + (TROUBLE ? "on" : "off"));
    }

    /** Returns the milliseconds since the case began. */
    public static double now() {
        return (System.nanoTime() - BEGAN) / 1e6;
    }

    /** Writes a line to the record. */
    public static synchronized void note(String line) {
        record.printf("%10.1f ms  %s%n", now(), line);
    }

    /** Writes a breach of the rule to the record and to standard output. */
    public static synchronized void breach(String line) {
        broken++;
        note("BROKEN: " + line);
        if (broken <= 5) {
            System.out.println("broken: " + line);
        }
    }

    /** Ends the case by what was found. */
    public static void finish(boolean couldRun, String summary) {
        note(summary);
        System.out.println(summary);
        end(broken > 0 ? 1 : couldRun ? 0 : 2);
    }

    public static void end(int code) {
        note("exit " + code);
        System.exit(code);
    }

    private static void cleanUp() {
        for (Proxy proxy : PROXIES) {
            proxy.kill();
        }
        record.flush();
        try (Stream<Path> files = Files.walk(temporary)) {
            files.sorted(Comparator.reverseOrder()).forEach(file -> file.toFile().delete());
        } catch (IOException e) {
            // nothing more can be done
        }
    }

    public static void sleep(double millis) {
        try {
            if (millis > 0) {
                Thread.sleep((long) millis, (int) (millis * 1e6 % 1e6));
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    /** Runs a task that may fail with an exception, in a thread of its own. */
    public static Thread go(Task task) {
        Thread thread =
                new Thread(
                        () -> {
                            try {
                                task.run();
                            } catch (IOException e) {
                                // the peer has ended the connection
                            } catch (Exception e) {
                                note("a thread of the case failed: " + e);
                            }
                        });
        thread.setDaemon(true);
        thread.start();
        return thread;
    }

    /** A task that may fail. */
    public interface Task {
        void run() throws Exception;
    }

    /** Returns a port of the loopback address that is free now. */
    public static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    public static Path temporary() {
        return temporary;
    }

    /** A proxy: the processes that run under one name and address. */
    public static final class Proxy {
        public final int port;
        public final String name;
        private final Path folder;
        private final List<Process> processes = new ArrayList<>();
        private int starts;

        public Proxy(String name) throws IOException {
            this.name = name;
            this.port = freePort();
            this.folder = Files.createDirectories(temporary.resolve(name).resolve("tmp"));
            synchronized (PROXIES) {
                PROXIES.add(this);
            }
        }

        /** Writes the configuration. */
        public void configure(String settings, int discovery, String known, int memory, int sockets)
                throws IOException {
            String text =
                    "{\"name\":\""
                            + name
                            + "\",\"listen\":\"127.0.0.1:"
                            + port
                            + "\",\"discovery\":\"127.0.0.1:"
                            + discovery
                            + "\",\"seed\":\"8c1f30d27a5be9"
                            + String.format("%02x", 16 + starts)
                            + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":"
                            + memory
                            + ",\"sockets\":"
                            + sockets
                            + "},\"known\":"
                            + known
                            + ",\"settings\":"
                            + settings
                            + "}";
            Path next = folder.resolveSibling("config.next");
            Files.writeString(next, text);
            Files.move(
                    next,
                    folder.resolveSibling("config.json"),
                    java.nio.file.StandardCopyOption.REPLACE_EXISTING,
                    java.nio.file.StandardCopyOption.ATOMIC_MOVE);
        }

        /** Starts a process by the deploy file, with an address for operators unless it is 0. */
        public Process start(int discovery, int admin) throws IOException {
            starts++;
            ProcessBuilder builder = new ProcessBuilder("/bin/sh", "-c", command());
            builder.directory(root.toFile());
            Map<String, String> variables = builder.environment();
            variables.put("BALANCER_NAME", name);
            variables.put("BALANCER_LISTEN", "127.0.0.1:" + port);
            variables.put("BALANCER_DISCOVERY", "127.0.0.1:" + discovery);
            variables.put("BALANCER_CONFIG", folder.resolveSibling("config.json").toString());
            variables.put("TMPDIR", folder.toString());
            if (admin != 0) {
                variables.put("BALANCER_ADMIN_ADDR", "127.0.0.1:" + admin);
            }
            builder.redirectErrorStream(true);
            Process process = builder.start();
            synchronized (PROXIES) {
                processes.add(process);
            }
            int number = starts;
            note(name + ": start " + number);
            Thread reader =
                    new Thread(
                            () -> {
                                try (var lines = process.inputReader()) {
                                    for (String l = lines.readLine(); l != null; l = lines.readLine()) {
                                        note(name + "/" + number + " log: " + l);
                                    }
                                } catch (IOException e) {
                                    // it has ended
                                }
                            });
            reader.setDaemon(true);
            reader.start();
            return process;
        }

        /** Waits until the health check says yes. */
        public boolean awaitReady(int seconds) {
            for (int i = 0; i < seconds * 20; i++) {
                if (get(port, "/_health").status == 200) {
                    note(name + " is ready");
                    return true;
                }
                sleep(50);
            }
            return false;
        }

        public void signal(Process process, String signal) throws Exception {
            note(name + ": SIG" + signal);
            new ProcessBuilder("/bin/sh", "-c", "kill -" + signal + " " + process.pid())
                    .start()
                    .waitFor();
        }

        void kill() {
            synchronized (PROXIES) {
                processes.forEach(Process::destroyForcibly);
                for (Process process : processes) {
                    try {
                        process.waitFor(5, TimeUnit.SECONDS);
                    } catch (InterruptedException e) {
                        Thread.currentThread().interrupt();
                    }
                }
            }
        }
    }

    /** Returns the command that the deploy file runs a proxy with. */
    private static String command() throws IOException {
        for (String line : Files.readAllLines(root.resolve("deploy/balancer.toml"))) {
            if (line.startsWith("run = \"")) {
                return line.substring(7, line.lastIndexOf('"')).replace("\\\"", "\"");
            }
        }
        throw new IOException("the deploy file has no run");
    }

    /** Calls a server once, on a connection of its own. */
    public static Http.Answer get(int port, String path) {
        return call(port, "GET " + path + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    }

    /** Posts to a server once, on a connection of its own. */
    public static Http.Answer post(int port, String path) {
        return call(
                port,
                "POST "
                        + path
                        + " HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\nConnection: close\r\n\r\n");
    }

    private static Http.Answer call(int port, String text) {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1000);
            socket.setSoTimeout(2000);
            socket.getOutputStream().write(text.getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            return Http.readAnswer(in);
        } catch (IOException e) {
            return Http.Answer.none(e.toString());
        }
    }
}
