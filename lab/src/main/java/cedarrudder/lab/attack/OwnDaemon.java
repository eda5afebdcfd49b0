package cedarrudder.lab.attack;

import java.io.Closeable;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;

/**
 * A daemon of our own as a process, with scripted nodes behind it. It ends with this process, even
 * where that is killed: the shell between them holds the other end of a pipe.
 */
public final class OwnDaemon implements Closeable {

    /** The classes and the tenant that it knows. */
    public static final RequestTemplates WORDS = new RequestTemplates("lookup", "order", "acme");

    private static final int NODES = 3;
    private static final int READY_MILLIS = 20_000;
    private static final int ASK_MILLIS = 50;

    /** Runs the daemon until it ends, or until nobody holds the other end of its input. */
    private static final String LEASH =
            "ulimit -n \"$1\"; shift; exec 3<&0; \"$@\" 3<&- </dev/null & "
                    + "child=$!; (cat <&3; kill \"$child\") >/dev/null 2>&1 & wait \"$child\"";

    private final ScriptedNodes nodes = new ScriptedNodes(NODES);
    private final ServerSocket silent =
            new ServerSocket(0, NODES, InetAddress.getLoopbackAddress());
    private final InetSocketAddress address;
    private final Path file;
    private final Process process;

    /**
     * Starts it and waits until it is healthy.
     *
     * @param flags of the virtual machine, as {@code deploy/balancer.toml} gives some
     * @param sockets how many descriptors it may have
     */
    public OwnDaemon(Path jar, List<String> flags, int sockets)
            throws IOException, InterruptedException {
        if (!Files.isRegularFile(jar)) {
            throw new IOException("there is no daemon at " + jar + "; build it first");
        }
        try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            address = new InetSocketAddress(free.getInetAddress(), free.getLocalPort());
        }
        file = Files.createTempFile("attacked", ".json");
        Files.writeString(file, configuration(sockets));
        List<String> command =
                new ArrayList<>(
                        List.of(
                                "sh",
                                "-c",
                                LEASH,
                                "leash",
                                String.valueOf(sockets),
                                Path.of(System.getProperty("java.home"), "bin", "java")
                                        .toString()));
        command.addAll(flags);
        // Whole bodies alone: attacks on lengths are told from one another at a bound that they
        // reach soon.
        Path bounds = Files.createTempFile("attacked", ".toml");
        bounds.toFile().deleteOnExit();
        Files.writeString(bounds, "[callers]\nbody_bytes = 65536\n");
        command.addAll(List.of("-jar", jar.toString(), "serve", "--operator", bounds.toString()));
        ProcessBuilder builder =
                new ProcessBuilder(command)
                        .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                        .redirectError(ProcessBuilder.Redirect.DISCARD);
        builder.environment().put("BALANCER_CONFIG", file.toString());
        process = builder.start();
        awaitHealth();
    }

    private void awaitHealth() throws IOException, InterruptedException {
        for (int waited = 0; waited < READY_MILLIS; waited += ASK_MILLIS) {
            if (!process.isAlive()) {
                close();
                throw new IOException("the daemon ended as it began");
            }
            if (healthy()) {
                return;
            }
            Thread.sleep(ASK_MILLIS);
        }
        close();
        throw new IOException("the daemon is not healthy after " + READY_MILLIS + " ms");
    }

    /** Whether it says now that it is. */
    public boolean healthy() {
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            socket.setSoTimeout(READY_MILLIS);
            socket.getOutputStream()
                    .write(
                            ("GET /_health HTTP/1.1\r\n" + RequestTemplates.HOST + "\r\n\r\n")
                                    .getBytes(StandardCharsets.ISO_8859_1));
            InputStream in = socket.getInputStream();
            Answer answer = Answer.read(in, false);
            return answer != null && answer.status() == 200;
        } catch (IOException e) {
            return false;
        }
    }

    /** Where it listens. */
    public InetSocketAddress address() {
        return address;
    }

    /** Plays against it; times may be this many times what is owed. */
    public Player player(int slack) {
        return new Player(address, WORDS, nodes, slack);
    }

    /** Requests without an id that reached a node: none ever may. */
    public int nameless() {
        return nodes.nameless().size();
    }

    /** Its process, below the shell that holds it. */
    public ProcessHandle handle() {
        return process.toHandle()
                .children()
                .filter(child -> child.info().command().orElse("").endsWith("java"))
                .findFirst()
                .orElse(process.toHandle());
    }

    private String configuration(int sockets) {
        String servers = ToySite.servers(nodes.addresses());
        return CONFIGURATION.formatted(
                address.getPort(), silent.getLocalPort(), sockets, servers, ToySite.settings(1, 0));
    }

    private static final String CONFIGURATION =
            """
            {"name": "attacked", "listen": "127.0.0.1:%d", "discovery": "127.0.0.1:%d",
             "seed": "1f", "limits": {"sockets": %d},
             "known": {"version": 1, "full": true, "servers": [%s]},
             "settings": %s}
            """;

    /**
     * What the end of this process does: the shell between sees that nobody holds its input any
     * more.
     */
    void dropLeash() throws IOException {
        process.getOutputStream().close();
    }

    @Override
    public void close() throws IOException {
        dropLeash();
        process.descendants().forEach(ProcessHandle::destroy);
        try {
            if (!process.waitFor(READY_MILLIS, TimeUnit.MILLISECONDS)) {
                process.descendants().forEach(ProcessHandle::destroyForcibly);
                process.destroyForcibly();
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
        nodes.close();
        silent.close();
        Files.deleteIfExists(file);
    }
}
