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
 * One instance against peers that are played by the test: it is told, and what it sends is read.
 */
public class SwimMemberTest {

    private static final long SECOND = 1_000_000_000L;
    private static final long INCARNATION = 1_000;

    /** What went out: to whom, and what. */
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

    private void hear(
            int from,
            Kind kind,
            int question,
            long incarnation,
            int subject,
            MemberUpdate... news) {
        swim.onDatagram(
                now,
                from,
                SwimCodec.encode(packet(kind, question, from, incarnation, subject, news)));
    }

    private static SwimMessage packet(
            Kind kind,
            int question,
            int from,
            long incarnation,
            int subject,
            MemberUpdate... news) {
        return new SwimMessage(kind, question, from, incarnation, subject, 0, null, List.of(news));
    }

    private static MemberUpdate news(int number, long incarnation, State standing, int accuser) {
        return new MemberUpdate(new Member(number, incarnation, standing), accuser);
    }

    /** Lets it do what it wants to, until it sends a message of this kind. */
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
        throw new AssertionError("it never sends " + kind);
    }

    /** Lets it do what it wants to, until it no longer waits for this answer and asks another. */
    private Sent awaitAfter(Sent question) {
        Sent next = await(Kind.PING);
        while (next.to == question.to) {
            next = await(Kind.PING);
        }
        return next;
    }

    @Test
    public void whoDoesNotAnswerIsAskedByOthersThenSuspectedThenDead() {
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
    public void anAnswerThroughAHelperCounts() {
        start(4);
        Sent first = await(Kind.PING);
        Sent help = await(Kind.PING_REQUEST);
        hear(help.to, Kind.ACK, help.packet.sequence(), 1, first.to);
        await(Kind.PING);
        assertEquals(swim.member(first.to).state(), State.ALIVE);
        assertEquals(swim.healthScore(), 0);
    }

    @Test
    public void anAnswerFromOneThatWasNotAskedIsNone() {
        start(4, new MembershipSettings(SECOND, SECOND / 2, 0, 4, 4, 3, 3, 8, 10));
        Sent first = await(Kind.PING);
        int other = first.to % 3 + 1;
        hear(other, Kind.ACK, first.packet.sequence(), 1, first.to);
        hear(first.to % 3 + 1, Kind.ACK, first.packet.sequence() + 1, 1, other);
        awaitAfter(first);
        assertEquals(swim.member(first.to).state(), State.SUSPECT);
    }

    @Test
    public void whoHearsNobodySlowsDown() {
        start(5);
        Sent first = await(Kind.PING);
        awaitAfter(first);
        assertEquals(swim.healthScore(), 1);
        long before = now;
        while (swim.healthScore() == 1) {
            now = swim.nextTickAt();
            swim.tick(now);
        }
        assertTrue(now - before >= 2 * MembershipSettings.DEFAULT.period(), "it doesn't slow down");
    }

    /** Answers each question until the next, at once or only when asked again. */
    private Sent answerAll(int times, boolean again) {
        Sent asked = await(Kind.PING);
        for (int i = 0; i < times; i++) {
            if (again) {
                await(Kind.PING_REQUEST);
            }
            hear(asked.to, Kind.ACK, asked.packet.sequence(), 1, asked.to);
            sent.clear();
            asked = await(Kind.PING);
        }
        return asked;
    }

    private long silentUntilSuspected(boolean lossy) {
        start(20);
        Sent asked = answerAll(60, lossy);
        long began = now;
        while (swim.member(asked.to).state() == State.ALIVE) {
            hear(asked.to % 19 + 1, Kind.NACK, 0, 1, asked.to); // it is not deaf
            now = swim.nextTickAt();
            swim.tick(now);
        }
        return now - began;
    }

    @Test
    public void whereAnswersAreLostOneIsAskedAgainBeforeOthersAreTold() {
        assertTrue(silentUntilSuspected(false) <= MembershipSettings.DEFAULT.period());
        assertTrue(silentUntilSuspected(true) >= 3 * MembershipSettings.DEFAULT.period());
    }

    @Test
    public void whoIsHeardIsDoubtedNoMore() {
        start(20);
        Sent asked = answerAll(60, true);
        awaitAfter(asked);
        hear(asked.to, Kind.PING, 1, 1, 0);
        long until = now + 3 * SECOND;
        int again = 0;
        while (now < until) {
            sent.clear();
            now = swim.nextTickAt();
            swim.tick(now);
            again += sent.stream().anyMatch(s -> s.to == asked.to) ? 1 : 0;
        }
        assertEquals(swim.member(asked.to).state(), State.ALIVE);
        assertTrue(again <= 1, "asked " + again + " times more");
    }

    /** Answers that wait unread, and contradictions, say nothing against others. */
    @Test
    public void whoStoodStillAccusesAndBuriesNobody() {
        start(5);
        await(Kind.PING);
        hear(1, Kind.NACK, 0, 1, 1, news(2, 3, State.SUSPECT, 1));
        now += 60 * SECOND;
        swim.tick(now);
        assertEquals(
                changes, List.of(new Member(1, 1, State.ALIVE), new Member(2, 3, State.SUSPECT)));
        hear(2, Kind.PING, 1, 4, 0);
        assertEquals(swim.member(2).state(), State.ALIVE);
    }

    @Test
    public void confirmationsShortenASuspicion() {
        long[] until = new long[2];
        for (int confirmed = 0; confirmed < 2; confirmed++) {
            start(50);
            hear(1, Kind.ACK, 99, 1, 1, news(9, 3, State.SUSPECT, 1));
            for (int accuser = 2; accuser < 2 + 3 * confirmed; accuser++) {
                hear(accuser, Kind.ACK, 99, 1, accuser, news(9, 3, State.SUSPECT, accuser));
            }
            // The same again and again confirms nothing.
            for (int i = 0; i < 10; i++) {
                hear(1, Kind.ACK, 99, 1, 1, news(9, 3, State.SUSPECT, 1));
            }
            long began = now;
            while (swim.member(9).isLive()) {
                now = swim.nextTickAt();
                swim.tick(now);
            }
            until[confirmed] = now - began;
        }
        assertTrue(until[1] * 3 < until[0], until[0] + " alone, " + until[1] + " confirmed");
    }

    @Test
    public void whatIsSaidOfItselfIsContradicted() {
        start(3);
        hear(1, Kind.PING, 5, 1, 0, news(0, INCARNATION, State.SUSPECT, 2));
        Sent answer = await(Kind.ACK);
        assertEquals(answer.packet.incarnation(), INCARNATION + 1);
        assertTrue(
                answer.packet.updates().contains(news(0, INCARNATION + 1, State.ALIVE, 0)),
                answer.toString());
        // An older life of its own had a larger number: it takes the next.
        hear(1, Kind.PING, 6, 1, 0, news(0, INCARNATION + 70, State.DEAD, 2));
        assertEquals(await(Kind.ACK).packet.incarnation(), INCARNATION + 71);
        // Old claims change nothing.
        hear(1, Kind.PING, 7, 1, 0, news(0, INCARNATION + 70, State.DEAD, 2));
        assertEquals(await(Kind.ACK).packet.incarnation(), INCARNATION + 71);
        assertEquals(swim.counts().refuted(), 2);
    }

    @Test
    public void anOldLifeIsNeverBelievedAgain() {
        start(4);
        hear(1, Kind.PING, 1, 10, 0);
        hear(2, Kind.PING, 1, 5, 0, news(1, 10, State.DEAD, 1));
        assertFalse(swim.member(1).isLive());
        // Late messages of the life that has ended, by itself and by others.
        hear(1, Kind.PING, 2, 10, 0);
        hear(1, Kind.PING, 2, 9, 0);
        hear(3, Kind.PING, 3, 5, 0, news(1, 10, State.ALIVE, 1), news(2, 4, State.DEAD, 3));
        assertFalse(swim.member(1).isLive());
        assertTrue(swim.member(2).isLive(), "death of a life before this one");
        hear(1, Kind.PING, 2, 11, 0);
        assertTrue(swim.member(1).isLive());
        hear(3, Kind.PING, 3, 5, 0, news(1, 10, State.DEAD, 3));
        assertTrue(swim.member(1).isLive());
    }

    /**
     * One that has just started shows whom it holds as dead, and the answer says in whom it errs.
     */
    @Test
    public void twoThatDifferInTheDeadTellOneAnother() {
        start(30);
        hear(2, Kind.PING, 1, 5, 0, news(1, 10, State.DEAD, 1), news(9, 20, State.DEAD, 9));
        for (int i = 0; i < 50; i++) {
            hear(2, Kind.PING, 1, 5, 0); // until that news has gone out often enough
        }
        sent.clear();
        hear(2, Kind.PING, 8, 5, 0);
        assertTrue(await(Kind.ACK).packet.updates().isEmpty(), "news without end");
        byte[] held = {0, 2, 4, 0}; // 9 and 18 are dead
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
                                new SwimMessage.Window(0, held),
                                List.of())));
        assertEquals(
                await(Kind.ACK).packet.updates(),
                List.of(news(1, 10, State.DEAD, 0), news(18, 0, State.ALIVE, 18)));
        // Its own next question shows what it holds, until the digests agree.
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
     * One that hears nobody, or was cut off, holds the living as dead: its word alone buries none
     * of them.
     */
    @Test
    public void aClaimOfDeathIsNotBelievedAtOnce() {
        start(30);
        hear(9, Kind.NACK, 0, 20, 9);
        hear(2, Kind.NACK, 0, 5, 2, news(9, 20, State.DEAD, 2));
        hear(3, Kind.NACK, 0, 5, 3, news(9, 20, State.DEAD, 3));
        assertEquals(swim.member(9).state(), State.SUSPECT);
        long began = now;
        while (swim.member(9).isLive()) {
            hear(2, Kind.NACK, 0, 5, 2);
            now = swim.nextTickAt();
            swim.tick(now);
        }
        double min = 4 * Math.log10(30) * MembershipSettings.DEFAULT.period();
        assertEquals(
                now - began, min, MembershipSettings.DEFAULT.period(), "the shortest suspicion");
        // Of a life that was never heard of it is: so one that starts learns whom the others
        // buried.
        hear(2, Kind.NACK, 0, 5, 2, news(8, 20, State.DEAD, 2));
        assertFalse(swim.member(8).isLive());
    }

    @Test
    public void aFloodOfQuestionsIsAnsweredToABound() {
        start(4, new MembershipSettings(3600 * SECOND, SECOND, 3, 4, 4, 3, 3, 8, 10));
        for (int i = 0; i < 1_000; i++) {
            hear(1, Kind.PING, i, 1, 0);
        }
        assertEquals(sent.size(), 64);
        assertEquals(swim.counts().unanswered(), 936);
    }

    @Test
    public void anEarlierVersionIsRefused() {
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
    public void itAsksForOthersAndTellsOfSilence() {
        start(4, new MembershipSettings(3600 * SECOND, SECOND, 3, 4, 4, 3, 3, 8, 10));
        hear(1, Kind.PING_REQUEST, 41, 1, 2);
        Sent asked = await(Kind.PING);
        assertEquals(asked.to, 2);
        Sent nack = await(Kind.NACK);
        assertEquals(nack.to, 1);
        assertEquals(nack.packet.sequence(), 41);
        hear(2, Kind.ACK, asked.packet.sequence(), 1, 2);
        Sent ack = await(Kind.ACK);
        assertEquals(ack.to, 1);
        assertEquals(ack.packet.sequence(), 41);
        assertEquals(ack.packet.subject(), 2);
        hear(2, Kind.ACK, asked.packet.sequence(), 1, 2);
        assertTrue(sent.isEmpty(), "answered twice");
    }

    @Test
    public void aFloodOfQuestionsForOthersIsBounded() {
        start(4, new MembershipSettings(3600 * SECOND, SECOND, 3, 4, 4, 3, 3, 8, 10));
        for (int i = 0; i < 1_000; i++) {
            hear(1, Kind.PING_REQUEST, i, 1, 2);
        }
        assertEquals(sent.size(), 64);
        assertEquals(swim.counts().relaysRefused(), 936);
    }

    @Test
    public void itSaysThatItLeavesAndThenNothing() {
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
                                                .contains(news(0, INCARNATION, State.DEAD, 0))),
                sent.toString());
        sent.clear();
        hear(1, Kind.PING, 1, 1, 0);
        swim.tick(now + SECOND);
        assertTrue(sent.isEmpty());
        assertEquals(swim.nextTickAt(), Long.MAX_VALUE);
    }

    @Test
    public void aSenderThatNamesAnotherIsNotBelieved() {
        start(4);
        byte[] forged = SwimCodec.encode(packet(Kind.PING, 1, 2, 9, 0, news(3, 9, State.DEAD, 3)));
        swim.onDatagram(now, 1, forged);
        assertTrue(swim.member(3).isLive());
        assertEquals(swim.counts().wrongSender(), 1);
        assertTrue(sent.isEmpty());
    }

    /**
     * Detects a life's number that nobody ever had: a turned bit once set one that all believed.
     */
    @Test
    public void aTurnedBitAnywhereIsNoMessage() {
        start(6);
        byte[] good = SwimCodec.encode(packet(Kind.PING, 1, 2, 9, 0, news(3, 9, State.ALIVE, 3)));
        assertNotNull(SwimCodec.decode(good, 6));
        for (int bit = 0; bit < 8 * good.length; bit++) {
            byte[] turned = good.clone();
            turned[bit / 8] ^= (byte) (1 << bit % 8);
            assertNull(SwimCodec.decode(turned, 6), "bit " + bit);
        }
    }

    /** Any bytes are read or dropped; what is read is written back to the same bytes. */
    @Test
    public void anyBytesAreReadOrDropped() {
        long seed = System.nanoTime();
        System.out.println("bytes: seed " + seed);
        SplittableRandom random = new SplittableRandom(seed);
        start(6);
        byte[] good =
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
                                        news(3, 1L << 50, State.SUSPECT, 2),
                                        news(4, 3, State.ALIVE, 4))));
        int read = 0;
        for (int i = 0; i < 200_000; i++) {
            byte[] bytes;
            if (random.nextBoolean()) {
                bytes = new byte[random.nextInt(300)];
                random.nextBytes(bytes);
            } else {
                bytes =
                        java.util.Arrays.copyOf(
                                good,
                                random.nextInt(8) > 0
                                        ? good.length
                                        : random.nextInt(2 * good.length));
                for (int changed = random.nextInt(4); changed > 0 && bytes.length > 0; changed--) {
                    bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
                }
            }
            if (bytes.length > 4) { // else hardly one would get past its checksum
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
        assertTrue(read > 1_000, "only " + read + " were read");
        assertNull(SwimCodec.decode(new byte[0], 6));
        assertTrue(swim.liveCount() >= 1);
    }

    @Test
    public void figuresOutsideTheirRangeAreNamed() {
        try {
            new MembershipSettings(SECOND, SECOND, 3, 4, 4, 3, 3, 8, 10);
            throw new AssertionError("taken");
        } catch (IllegalArgumentException e) {
            assertEquals(
                    e.getMessage(),
                    "ackPatience: found 1000000000; allowed: over 0, below the period");
        }
    }
}
