package cedarrudder.lab.attack;

import java.io.Closeable;
import java.io.EOFException;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** An attacker's connection, and what was seen on it. */
public final class Wire implements Closeable {

    /** Behind the id of the sound request that follows an attack. */
    static final String AFTER = "-after";

    private static final int PIECE = 8 * 1024;
    private static final int SMALL_BUFFER = 4 * 1024;

    private final InetSocketAddress to;
    private final RequestTemplates words;
    private final String id;
    private final int patienceMillis;
    private final RandomGenerator cuts;
    private final Socket socket = new Socket();
    private final long began;
    private final List<Answer> answers = new ArrayList<>();
    private final List<String> wrongs = new ArrayList<>();
    private int interim;
    private long firstNanos = -1;
    private boolean bodiless;
    private boolean ended;
    private boolean broken;
    private boolean closes;
    private Boolean inStep;

    /**
     * Connects.
     *
     * @param id the request's, which each attack has to itself
     * @param patienceMillis how long an answer or an end is waited for
     * @param cuts where not null, what is said goes out in pieces cut at places that this draws
     * @param small whether as little as may be is buffered of what comes
     */
    Wire(
            InetSocketAddress to,
            RequestTemplates words,
            String id,
            int patienceMillis,
            RandomGenerator cuts,
            boolean small)
            throws IOException {
        this.to = to;
        this.words = words;
        this.id = id;
        this.patienceMillis = patienceMillis;
        this.cuts = cuts;
        if (small) {
            socket.setReceiveBufferSize(SMALL_BUFFER);
        }
        socket.setTcpNoDelay(true);
        socket.setSoTimeout(patienceMillis);
        socket.connect(to, patienceMillis);
        began = System.nanoTime();
    }

    /** A further connection of the same attacker. */
    Wire another(boolean small) throws IOException {
        return new Wire(to, words, id, patienceMillis, cuts, small);
    }

    /** Sends a text whose places are filled. */
    void say(String text) {
        byte[] bytes = words.fill(text, id).getBytes(StandardCharsets.ISO_8859_1);
        int from = 0;
        while (cuts != null && from < bytes.length - 1) {
            int to = from + 1 + cuts.nextInt(bytes.length - from - 1);
            write(bytes, from, to);
            from = to;
        }
        write(bytes, from, bytes.length);
    }

    private void write(byte[] bytes, int from, int to) {
        try {
            socket.getOutputStream().write(bytes, from, to - from);
        } catch (IOException e) {
            broken = true; // what the other side said before can still be read, or the end seen
        }
    }

    /** Sends a text a byte at a time, until it is out, or an answer or the end comes. */
    void drip(String text, int gapMillis) throws IOException, InterruptedException {
        byte[] bytes = words.fill(text, id).getBytes(StandardCharsets.ISO_8859_1);
        for (int i = 0; i < bytes.length && !answered() && !broken; i++) {
            write(bytes, i, i + 1);
            if (gapMillis > 0) {
                Thread.sleep(gapMillis);
            }
        }
    }

    /**
     * Sends a text again and again at full speed, until this many bytes are out, or an answer
     * comes.
     */
    void pour(String text, long max) throws IOException {
        byte[] once = words.fill(text, id).getBytes(StandardCharsets.ISO_8859_1);
        byte[] piece = new byte[Math.max(1, PIECE / once.length) * once.length];
        for (int i = 0; i < piece.length; i++) {
            piece[i] = once[i % once.length];
        }
        for (long sent = 0; sent < max && !answered() && !broken; sent += piece.length) {
            write(piece, 0, piece.length);
        }
    }

    /** Whether bytes of an answer are there. */
    boolean answered() throws IOException {
        return !socket.isClosed() && socket.getInputStream().available() > 0;
    }

    /**
     * The next final answer; null at the end of the connection, or where it doesn't come in time.
     */
    Answer read() throws IOException {
        while (!ended) {
            try {
                Answer answer = Answer.read(socket.getInputStream(), bodiless);
                if (answer == null) {
                    end();
                } else if (answer.status() < 200) {
                    interim++;
                } else {
                    add(answer);
                    return answer;
                }
            } catch (SocketTimeoutException e) {
                return null;
            } catch (EOFException e) {
                wrongs.add(e.getMessage());
                end();
            } catch (Answer.UnsoundException e) {
                wrongs.add(e.getMessage());
                return null;
            } catch (IOException e) {
                end(); // a reset is an end too
            }
        }
        return null;
    }

    /** Reads an interim answer; false where a final one came, or none. */
    boolean readInterim() throws IOException {
        try {
            Answer answer = Answer.read(socket.getInputStream(), bodiless);
            if (answer != null && answer.status() < 200) {
                interim++;
                return true;
            }
            if (answer != null) {
                add(answer);
            } else {
                end();
            }
        } catch (SocketTimeoutException e) {
            wrongs.add("no interim answer");
        }
        return false;
    }

    private void add(Answer answer) {
        note();
        answers.add(answer);
        closes |= answer.closes();
    }

    private void note() {
        if (firstNanos < 0) {
            firstNanos = System.nanoTime() - began;
        }
    }

    private void end() {
        note();
        ended = true;
    }

    /** Answers on this connection have no body. */
    void expectNoBodies() {
        bodiless = true;
    }

    /** Ends it without a word, as a process that dies does. */
    void reset() throws IOException {
        socket.setSoLinger(true, 0);
        socket.close();
    }

    /** Takes over the answers that another connection saw. */
    void take(Wire other) {
        answers.addAll(other.answers);
        wrongs.addAll(other.wrongs);
    }

    /**
     * Writes a byte now and then until the other side has ended it; false where it doesn't in time.
     */
    boolean ends(int millis, int gapMillis) throws IOException, InterruptedException {
        for (int waited = 0; waited < millis && !broken; waited += gapMillis) {
            write(new byte[] {'\n'}, 0, 1);
            Thread.sleep(gapMillis);
        }
        if (broken) {
            end();
        }
        return broken;
    }

    /** Ends this one too, and takes over how another ended. */
    void follow(Wire other) throws IOException {
        wrongs.addAll(other.wrongs);
        firstNanos = other.firstNanos;
        ended = other.ended;
        socket.close();
    }

    /** A text with its places filled. */
    String fill(String text) {
        return words.fill(text, id);
    }

    /** Notes a wrong that the script itself saw. */
    void wrong(String what) {
        wrongs.add(what);
    }

    /**
     * Reads the answers owed, and finds out whether the connection has ended or is still in step.
     */
    void finish(ExpectedAnswer owed) throws IOException {
        while (answers.size() < owed.answers() && !ended) {
            if (read() == null) {
                break;
            }
        }
        if (ended || socket.isClosed() || answers.size() < owed.answers() && !owed.closeDoes()) {
            return;
        }
        if (closes || owed.end() == ExpectedAnswer.End.CLOSED) {
            awaitEnd();
            return;
        }
        // What a request too many or too few bytes of a body would put out of step.
        bodiless = false;
        byte[] next =
                words.fill(RequestTemplates.getAs(AFTER), id).getBytes(StandardCharsets.ISO_8859_1);
        write(next, 0, next.length);
        int before = answers.size();
        Answer after = read();
        inStep =
                after != null
                        && (after.body().equals(id + AFTER)
                                || after.status() == 502
                                || after.status() == 503);
        answers.subList(before, answers.size()).clear();
    }

    private void awaitEnd() throws IOException {
        try {
            int next = socket.getInputStream().read();
            if (next >= 0) {
                wrongs.add("more bytes behind the last answer");
            }
            ended = next < 0;
            note();
        } catch (SocketTimeoutException e) {
            ended = false;
        } catch (IOException e) {
            end();
        }
    }

    List<Answer> answers() {
        return answers;
    }

    List<String> wrongs() {
        return wrongs;
    }

    int interim() {
        return interim;
    }

    boolean ended() {
        return ended;
    }

    /** Whether a sound request behind the attack was served; null where none was sent. */
    Boolean inStep() {
        return inStep;
    }

    /**
     * From the connection's begin to the first final answer or the end, in milliseconds; -1:
     * neither.
     */
    int millis() {
        return firstNanos < 0 ? -1 : (int) (firstNanos / 1_000_000);
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
