package cedarrudder.lab.failover;

import java.util.random.RandomGenerator;

/** What goes wrong, and when. */
public enum World {
    /** Nothing does. */
    CALM,
    /** A zone's nodes are gone without a word, and come back cold after 30 s. */
    ZONE,
    /** All of a region's. */
    REGION,
    /** A zone's nodes do a third of what they do. */
    SLOW,
    /** Nothing passes between a zone and the others for 30 s; inside it is well. */
    CUT,
    /** Half of what one replica sends and is sent is lost. */
    LINK,
    /** A zone is gone for 1.5 s of each 3. */
    FLAP_3,
    /** And for 10 of each 20. */
    FLAP_20,
    /** A zone is lost while another has 90 % of what it can do. */
    CASCADE,
    /** It is lost while a third of another zone's nodes are being removed. */
    DRAIN,
    /** It is lost while a replica elsewhere is replaced. */
    UPGRADE,
    /** It is lost and the replica that leads with it. */
    ELECTION,
    /** It is lost with its replicas and others, 48 % in all. */
    HALF;

    /** When it begins. */
    static final long AT = 70 * Site.SECOND;

    static final long END = 150 * Site.SECOND;

    /** The zone that is concerned. */
    static final int LOST = 1;

    private static final int BUSY = 2;
    private static final double BUSY_LOAD = 0.9;
    private static final long BACK = 30 * Site.SECOND;
    private static final double THIRD = 1 / 3.0;
    private static final double BROKEN = 0.5;
    private static final long BROKEN_SLICE = 100 * Site.MILLI;
    private static final int LINK_REPLICA = 9;
    private static final int UPGRADED = 13;
    private static final long REPLACED = Site.SECOND;
    private static final double DEAD = 0.48;
    private static final long DEAD_FOR = 40 * Site.SECOND;

    /** Sets up what happens; {@code together} is null where replicas don't decide in common. */
    void script(Site site, CoordinatedPolicy together, RandomGenerator random) {
        if (this == CASCADE) {
            site.demand[BUSY] = BUSY_LOAD * Site.NODES * SimulatedNode.RATE;
        }
        site.after(AT - site.now(), () -> begin(site, together, random));
    }

    private void begin(Site site, CoordinatedPolicy together, RandomGenerator random) {
        switch (this) {
            case CALM -> {}
            case SLOW -> site.slow(LOST, THIRD);
            case REGION -> {
                lose(site, 3, BACK);
                lose(site, 4, BACK);
            }
            case CUT -> {
                cut(site, true, together);
                site.after(BACK, () -> cut(site, false, together));
            }
            case LINK -> breaks(site, together, random);
            case FLAP_3 -> flap(site, 3 * Site.SECOND);
            case FLAP_20 -> flap(site, 20 * Site.SECOND);
            case DRAIN -> {
                site.drain(0, Site.NODES / 3);
                lose(site, LOST, BACK);
            }
            case UPGRADE -> {
                lose(site, LOST, BACK);
                dies(site, together, UPGRADED, REPLACED);
            }
            case ELECTION -> {
                lose(site, LOST, BACK);
                if (together != null && together.leader() >= 0) {
                    dies(site, together, together.leader(), DEAD_FOR);
                }
            }
            case HALF -> {
                lose(site, LOST, BACK);
                boolean[] dead = new boolean[site.replicas.length];
                int count = 0;
                for (SimulatedReplica replica : site.replicas) {
                    dead[replica.number] = replica.zone == LOST;
                    count += replica.zone == LOST ? 1 : 0;
                }
                while (count < (int) (DEAD * dead.length)) {
                    int next = random.nextInt(dead.length);
                    count += dead[next] ? 0 : 1;
                    dead[next] = true;
                }
                for (int i = 0; i < dead.length; i++) {
                    if (dead[i]) {
                        dies(site, together, i, DEAD_FOR);
                    }
                }
            }
            default -> lose(site, LOST, BACK);
        }
    }

    private static void lose(Site site, int zone, long back) {
        site.lose(zone);
        site.after(back, () -> site.bringBack(zone));
    }

    private static void flap(Site site, long period) {
        if (site.now() < END - period) {
            lose(site, LOST, period / 2);
            site.after(period, () -> flap(site, period));
        }
    }

    private static void cut(Site site, boolean off, CoordinatedPolicy together) {
        for (int zone = 0; zone < Site.ZONES; zone++) {
            site.cut[LOST][zone] = off && zone != LOST;
            site.cut[zone][LOST] = off && zone != LOST;
        }
        if (together != null) {
            together.cutOff(LOST, off);
        }
    }

    private static void breaks(Site site, CoordinatedPolicy together, RandomGenerator random) {
        site.replicas[LINK_REPLICA].broken = BROKEN;
        if (together != null) {
            together.link(LINK_REPLICA, random.nextDouble() >= BROKEN);
        }
        site.after(BROKEN_SLICE, () -> breaks(site, together, random));
    }

    private static void dies(Site site, CoordinatedPolicy together, int replica, long length) {
        site.replicas[replica].dies();
        if (together != null) {
            together.kill(replica);
        }
        site.after(
                length,
                () -> {
                    site.replicas[replica].starts();
                    if (together != null) {
                        together.restart(replica);
                    }
                });
    }
}
