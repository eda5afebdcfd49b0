package cedarrudder.membership;

import static org.testng.Assert.assertEquals;
import static org.testng.Assert.assertFalse;
import static org.testng.Assert.assertNotNull;
import static org.testng.Assert.assertNull;
import static org.testng.Assert.assertTrue;

import cedarrudder.membership.Member.State;
import cedarrudder.membership.SwimMessage.Kind;
import cedarrudder.membership.SwimMessage.MemberUpdate;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import org.testng.annotations.Test;

/**
 * One member against peers that the test plays: the test passes in their messages and reads what
 * the member sends.
 */
public class SwimMemberTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long INCARNATION = 1_000;

    /** A sent message and its receiver. */
    private record Sent(int to, SwimMessage packet) {}

    private final List<Sent> sent = new ArrayList<>();
    private final List<Member> changes = new ArrayList<>();
    private long now;
    private SwimMember swim;

    private void start(int instances, MembershipSettings settings) {
        now = 5 * SECOND;
        sent.clear();
        changes.clear();
        swim =
                new SwimMember(
                        instances,
                        0,
                        INCARNATION,
                        settings,
                        new SplittableRandom(7),
                        new SwimMember.Actions() {
                            @Override
                            public void send(int to, byte[] message) {
                                assertTrue(
                                        message.length <= SwimCodec.MAX_BYTES,
                                        message.length + " bytes");
                                sent.add(new Sent(to, SwimCodec.decode(message, instances)));
                            }

                            @Override
                            public void onMemberChanged(Member before, Member after) {
                                changes.add(after);
                            }
                        },
                        now);
    }

    private void start(int instances) {
        start(instances, MembershipSettings.DEFAULT);
    }

    private void receive(
            int from,
            Kind kind,
            int sequence,
            long incarnation,
            int subject,
            MemberUpdate... updates) {
        swim.onDatagram(
                now,
                from,
                SwimCodec.encode(packet(kind, sequence, from, incarnation, subject, updates)));
    }

    private static SwimMessage packet(
            Kind kind,
            int sequence,
            int from,
            long incarnation,
            int subject,
            MemberUpdate... updates) {
        return new SwimMessage(
                kind, sequence, from, incarnation, subject, 0, null, List.of(updates));
    }

    private static MemberUpdate update(int number, long incarnation, State state, int accuser) {
        return new MemberUpdate(new Member(number, incarnation, state), accuser);
    }

    /** Advances the time until the member sends a message of this kind. */
    private Sent await(Kind kind) {
        for (int i = 0; i < 10_000; i++) {
            for (Sent each : List.copyOf(sent)) {
                sent.remove(each);
                if (each.packet.kind() == kind) {
                    return each;
                }
            }
            now = Math.max(now, swim.nextTickAt());
            swim.tick(now);
        }
        throw new AssertionError("never sent " + kind);
    }

    /** Advances the time until the member pings another instance than this one. */
    private Sent awaitAfter(Sent previous) {
        Sent next = await(Kind.PING);
        while (next.to == previous.to) {
            next = await(Kind.PING);
        }
        return next;
    }

    @Test
    public void unresponsiveMemberIsProbedIndirectlyThenSuspectedThenDeclaredDead() {
        start(5);
        Sent first = await(Kind.PING);
        int target = first.to;
        Sent help = await(Kind.PING_REQUEST);
        assertEquals(help.packet.subject(), target);
        while (swim.member(target).state() == State.ALIVE) {
            now = swim.nextTickAt();
            swim.tick(now);
        }
        assertEquals(swim.member(target).state(), State.SUSPECT);
        assertEquals(swim.liveCount(), 5);
        while (swim.member(target).isLive()) {
            now = swim.nextTickAt();
            swim.tick(now);
        }
        assertTrue(changes.contains(new Member(target, 0, State.DEAD)), changes.toString());
    }

    @Test
    public void ackThroughHelperAcknowledgesProbe() {
        start(4);
        Sent first = await(Kind.PING);
        Sent help = await(Kind.PING_REQUEST);
        receive(help.to, Kind.ACK, help.packet.sequence(), 1, first.to);
        await(Kind.PING);
        assertEquals(swim.member(first.to).state(), State.ALIVE);
        assertEquals(swim.healthScore(), 0);
    }

    @Test
    public void ackFromInstanceThatWasNotPingedIsIgnored() {
        start(4, new MembershipSettings(SECOND, SECOND / 2, 0, 4, 4, 3, 3, 8, 10));
        Sent first = await(Kind.PING);
        int other = first.to % 3 + 1;
        receive(other, Kind.ACK, first.packet.sequence(), 1, first.to);
        receive(first.to % 3 + 1, Kind.ACK, first.packet.sequence() + 1, 1, other);
        awaitAfter(first);
        assertEquals(swim.member(first.to).state(), State.SUSPECT);
    }

    @Test
    public void memberThatReceivesNothingSlowsDown() {
        start(5);
        Sent first = await(Kind.PING);
        awaitAfter(first);
        assertEquals(swim.healthScore(), 1);
        long before = now;
        while (swim.healthScore() == 1) {
            now = swim.nextTickAt();
            swim.tick(now);
        }
        assertTrue(
                now - before >= 2 * MembershipSettings.DEFAULT.period(),
                "the probe period did not grow");
    }

    /** Answers each ping until the next, either at once or only after the indirect pings. */
    private Sent answerAll(int times, boolean again) {
        Sent pinged = await(Kind.PING);
        for (int i = 0; i < times; i++) {
            if (again) {
                await(Kind.PING_REQUEST);
            }
            receive(pinged.to, Kind.ACK, pinged.packet.sequence(), 1, pinged.to);
            sent.clear();
            pinged = await(Kind.PING);
        }
        return pinged;
    }

    private long timeUntilSuspected(boolean lossy) {
        start(20);
        Sent pinged = answerAll(60, lossy);
        long startedAt = now;
        while (swim.member(pinged.to).state() == State.ALIVE) {
            receive(
                    pinged.to % 19 + 1,
                    Kind.NACK,
                    0,
                    1,
                    pinged.to); // the member still receives messages
            now = swim.nextTickAt();
            swim.tick(now);
        }
        return now - startedAt;
    }

    @Test
    public void probesAreRepeatedBeforeSuspicionWhenAcksAreLost() {
        assertTrue(timeUntilSuspected(false) <= MembershipSettings.DEFAULT.period());
        assertTrue(timeUntilSuspected(true) >= 3 * MembershipSettings.DEFAULT.period());
    }

    @Test
    public void repeatedProbesEndWhenMemberSendsAMessage() {
        start(20);
        Sent pinged = answerAll(60, true);
        awaitAfter(pinged);
        receive(pinged.to, Kind.PING, 1, 1, 0);
        long until = now + 3 * SECOND;
        int again = 0;
        while (now < until) {
            sent.clear();
            now = swim.nextTickAt();
            swim.tick(now);
            again += sent.stream().anyMatch(s -> s.to == pinged.to) ? 1 : 0;
        }
        assertEquals(swim.member(pinged.to).state(), State.ALIVE);
        assertTrue(again <= 1, "pinged " + again + " times more");
    }

    /**
     * After a suspension the acks and refutations of others wait unread: the member must not
     * suspect the others for it, nor declare them dead.
     */
    @Test
    public void suspendedMemberNeitherSuspectsNorDeclaresDead() {
        start(5);
        await(Kind.PING);
        receive(1, Kind.NACK, 0, 1, 1, update(2, 3, State.SUSPECT, 1));
        now += 60 * SECOND;
        swim.tick(now);
        assertEquals(
                changes, List.of(new Member(1, 1, State.ALIVE), new Member(2, 3, State.SUSPECT)));
        receive(2, Kind.PING, 1, 4, 0);
        assertEquals(swim.member(2).state(), State.ALIVE);
    }

    @Test
    public void confirmationsShortenSuspicion() {
        long[] until = new long[2];
        for (int confirmed = 0; confirmed < 2; confirmed++) {
            start(50);
            receive(1, Kind.ACK, 99, 1, 1, update(9, 3, State.SUSPECT, 1));
            for (int accuser = 2; accuser < 2 + 3 * confirmed; accuser++) {
                receive(accuser, Kind.ACK, 99, 1, accuser, update(9, 3, State.SUSPECT, accuser));
            }
            // Repeating one claim confirms nothing.
            for (int i = 0; i < 10; i++) {
                receive(1, Kind.ACK, 99, 1, 1, update(9, 3, State.SUSPECT, 1));
            }
            long startedAt = now;
            while (swim.member(9).isLive()) {
                now = swim.nextTickAt();
                swim.tick(now);
            }
            until[confirmed] = now - startedAt;
        }
        assertTrue(until[1] * 3 < until[0], until[0] + " unconfirmed, " + until[1] + " confirmed");
    }

    @Test
    public void wrongClaimsAboutItselfAreRefuted() {
        start(3);
        receive(1, Kind.PING, 5, 1, 0, update(0, INCARNATION, State.SUSPECT, 2));
        Sent answer = await(Kind.ACK);
        assertEquals(answer.packet.incarnation(), INCARNATION + 1);
        assertTrue(
                answer.packet.updates().contains(update(0, INCARNATION + 1, State.ALIVE, 0)),
                answer.toString());
        // An earlier incarnation had a larger number: the member continues with the next one.
        receive(1, Kind.PING, 6, 1, 0, update(0, INCARNATION + 70, State.DEAD, 2));
        assertEquals(await(Kind.ACK).packet.incarnation(), INCARNATION + 71);
        // Claims about an old incarnation change nothing.
        receive(1, Kind.PING, 7, 1, 0, update(0, INCARNATION + 70, State.DEAD, 2));
        assertEquals(await(Kind.ACK).packet.incarnation(), INCARNATION + 71);
        assertEquals(swim.counts().refuted(), 2);
    }

    @Test
    public void messagesOfOldIncarnationsAreIgnored() {
        start(4);
        receive(1, Kind.PING, 1, 10, 0);
        receive(2, Kind.PING, 1, 5, 0, update(1, 10, State.DEAD, 1));
        assertFalse(swim.member(1).isLive());
        // Late messages of the incarnation that has ended, from the instance itself and from
        // others.
        receive(1, Kind.PING, 2, 10, 0);
        receive(1, Kind.PING, 2, 9, 0);
        receive(3, Kind.PING, 3, 5, 0, update(1, 10, State.ALIVE, 1), update(2, 4, State.DEAD, 3));
        assertFalse(swim.member(1).isLive());
        assertTrue(swim.member(2).isLive(), "death of an earlier incarnation");
        receive(1, Kind.PING, 2, 11, 0);
        assertTrue(swim.member(1).isLive());
        receive(3, Kind.PING, 3, 5, 0, update(1, 10, State.DEAD, 3));
        assertTrue(swim.member(1).isLive());
    }

    /**
     * An instance that has just started sends the set that it counts as dead, and the ack carries
     * the differences.
     */
    @Test
    public void membersWithDifferentDeadSetsExchangeTheDifferences() {
        start(30);
        receive(2, Kind.PING, 1, 5, 0, update(1, 10, State.DEAD, 1), update(9, 20, State.DEAD, 9));
        for (int i = 0; i < 50; i++) {
            receive(
                    2, Kind.PING, 1, 5,
                    0); // until that update has been sent the maximum number of times
        }
        sent.clear();
        receive(2, Kind.PING, 8, 5, 0);
        assertTrue(await(Kind.ACK).packet.updates().isEmpty(), "updates are sent too often");
        byte[] deadBits = {0, 2, 4, 0}; // 9 and 18 are dead
        swim.onDatagram(
                now,
                3,
                SwimCodec.encode(
                        new SwimMessage(
                                Kind.PING,
                                8,
                                3,
                                5,
                                0,
                                77,
                                new SwimMessage.Window(0, deadBits),
                                List.of())));
        assertEquals(
                await(Kind.ACK).packet.updates(),
                List.of(update(1, 10, State.DEAD, 0), update(18, 0, State.ALIVE, 18)));
        // Its own next ping carries its set, until the digests agree.
        SwimMessage shown = await(Kind.PING).packet;
        assertEquals(shown.window().bits(), new byte[] {2, 2, 0, 0});
        swim.onDatagram(
                now,
                3,
                SwimCodec.encode(
                        new SwimMessage(Kind.NACK, 0, 3, 5, 0, shown.digest(), null, List.of())));
        sent.clear();
        assertNull(await(Kind.PING).packet.window());
    }

    /**
     * An instance that receives nothing, or was cut off, counts live instances as dead: its claim
     * alone must not make another member declare them dead.
     */
    @Test
    public void claimedDeathStartsSuspicionFirst() {
        start(30);
        receive(9, Kind.NACK, 0, 20, 9);
        receive(2, Kind.NACK, 0, 5, 2, update(9, 20, State.DEAD, 2));
        receive(3, Kind.NACK, 0, 5, 3, update(9, 20, State.DEAD, 3));
        assertEquals(swim.member(9).state(), State.SUSPECT);
        long startedAt = now;
        while (swim.member(9).isLive()) {
            receive(2, Kind.NACK, 0, 5, 2);
            now = swim.nextTickAt();
            swim.tick(now);
        }
        double min = 4 * Math.log10(30) * MembershipSettings.DEFAULT.period();
        assertEquals(
                now - startedAt,
                min,
                MembershipSettings.DEFAULT.period(),
                "the minimum length of a suspicion");
        // A death claim about an incarnation from which no message arrived is accepted: so a
        // starting instance gets to know which instances are dead.
        receive(2, Kind.NACK, 0, 5, 2, update(8, 20, State.DEAD, 2));
        assertFalse(swim.member(8).isLive());
    }

    @Test
    public void acksToPingFloodAreBounded() {
        start(4, new MembershipSettings(3600 * SECOND, SECOND, 3, 4, 4, 3, 3, 8, 10));
        for (int i = 0; i < 1_000; i++) {
            receive(1, Kind.PING, i, 1, 0);
        }
        assertEquals(sent.size(), 64);
        assertEquals(swim.counts().unanswered(), 936);
    }

    @Test
    public void messageOfEarlierVersionIsRejected() {
        start(4);
        byte[] first =
                ByteBuffer.allocate(19)
                        .put((byte) 1)
                        .put((byte) 0)
                        .putInt(1)
                        .putShort((short) 1)
                        .putLong(5)
                        .putShort((short) 0)
                        .put((byte) 0)
                        .array();
        swim.onDatagram(now, 1, first);
        assertEquals(swim.counts().malformed(), 1);
        assertTrue(sent.isEmpty());
    }

    @Test
    public void pingRequestIsRelayedAndAnsweredByNackThenAck() {
        start(4, new MembershipSettings(3600 * SECOND, SECOND, 3, 4, 4, 3, 3, 8, 10));
        receive(1, Kind.PING_REQUEST, 41, 1, 2);
        Sent pinged = await(Kind.PING);
        assertEquals(pinged.to, 2);
        Sent nack = await(Kind.NACK);
        assertEquals(nack.to, 1);
        assertEquals(nack.packet.sequence(), 41);
        receive(2, Kind.ACK, pinged.packet.sequence(), 1, 2);
        Sent ack = await(Kind.ACK);
        assertEquals(ack.to, 1);
        assertEquals(ack.packet.sequence(), 41);
        assertEquals(ack.packet.subject(), 2);
        receive(2, Kind.ACK, pinged.packet.sequence(), 1, 2);
        assertTrue(sent.isEmpty(), "acknowledged twice");
    }

    @Test
    public void relayedPingsAreBounded() {
        start(4, new MembershipSettings(3600 * SECOND, SECOND, 3, 4, 4, 3, 3, 8, 10));
        for (int i = 0; i < 1_000; i++) {
            receive(1, Kind.PING_REQUEST, i, 1, 2);
        }
        assertEquals(sent.size(), 64);
        assertEquals(swim.counts().relaysRefused(), 936);
    }

    @Test
    public void leavingMemberAnnouncesItAndThenSendsNothing() {
        start(4);
        sent.clear();
        swim.leave();
        assertFalse(sent.isEmpty());
        assertTrue(
                sent.stream()
                        .allMatch(
                                s ->
                                        s.packet
                                                .updates()
                                                .contains(update(0, INCARNATION, State.DEAD, 0))),
                sent.toString());
        sent.clear();
        receive(1, Kind.PING, 1, 1, 0);
        swim.tick(now + SECOND);
        assertTrue(sent.isEmpty());
        assertEquals(swim.nextTickAt(), Long.MAX_VALUE);
    }

    @Test
    public void messageThatNamesAnotherSenderIsDropped() {
        start(4);
        byte[] forged =
                SwimCodec.encode(packet(Kind.PING, 1, 2, 9, 0, update(3, 9, State.DEAD, 3)));
        swim.onDatagram(now, 1, forged);
        assertTrue(swim.member(3).isLive());
        assertEquals(swim.counts().wrongSender(), 1);
        assertTrue(sent.isEmpty());
    }

    /**
     * A flipped bit once produced an incarnation that no instance ever had, and all instances
     * accepted it.
     */
    @Test
    public void flippedBitInvalidatesMessage() {
        start(6);
        byte[] valid =
                SwimCodec.encode(packet(Kind.PING, 1, 2, 9, 0, update(3, 9, State.ALIVE, 3)));
        assertNotNull(SwimCodec.decode(valid, 6));
        for (int bit = 0; bit < 8 * valid.length; bit++) {
            byte[] flipped = valid.clone();
            flipped[bit / 8] ^= (byte) (1 << bit % 8);
            assertNull(SwimCodec.decode(flipped, 6), "bit " + bit);
        }
    }

    /**
     * Arbitrary bytes are decoded or dropped; a decoded message is encoded to the same bytes again.
     */
    @Test
    public void arbitraryBytesAreDecodedOrDropped() {
        long seed = System.nanoTime();
        System.out.println("bytes: seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        start(6);
        byte[] valid =
                SwimCodec.encode(
                        new SwimMessage(
                                Kind.PING,
                                77,
                                1,
                                4,
                                2,
                                9,
                                new SwimMessage.Window(0, new byte[] {12}),
                                List.of(
                                        update(3, 1L << 50, State.SUSPECT, 2),
                                        update(4, 3, State.ALIVE, 4))));
        int read = 0;
        for (int i = 0; i < 200_000; i++) {
            byte[] bytes;
            if (random.nextBoolean()) {
                bytes = new byte[random.nextInt(300)];
                random.nextBytes(bytes);
            } else {
                bytes =
                        java.util.Arrays.copyOf(
                                valid,
                                random.nextInt(8) > 0
                                        ? valid.length
                                        : random.nextInt(2 * valid.length));
                for (int changed = random.nextInt(4); changed > 0 && bytes.length > 0; changed--) {
                    bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
                }
            }
            if (bytes.length > 4) { // otherwise hardly any would pass the checksum
                java.nio.ByteBuffer.wrap(bytes)
                        .putInt(bytes.length - 4, SwimCodec.checksum(bytes, bytes.length - 4));
            }
            SwimMessage packet = SwimCodec.decode(bytes, 6);
            if (packet != null) {
                read++;
                assertEquals(SwimCodec.encode(packet), bytes, "seed " + seed + ", number " + i);
            }
            swim.onDatagram(now, random.nextInt(6), bytes);
            if (i % 1000 == 0) {
                now += SECOND / 10;
                swim.tick(now);
                sent.clear();
            }
        }
        assertTrue(read > 1_000, "only " + read + " were decoded");
        assertNull(SwimCodec.decode(new byte[0], 6));
        assertTrue(swim.liveCount() >= 1);
    }

    @Test
    public void settingsOutOfRangeAreNamedInMessage() {
        try {
            new MembershipSettings(SECOND, SECOND, 3, 4, 4, 3, 3, 8, 10);
            throw new AssertionError("accepted");
        } catch (IllegalArgumentException e) {
            assertEquals(
                    e.getMessage(),
                    "ackPatience: found 1000000000; allowed: over 0, below the period");
        }
    }
}
