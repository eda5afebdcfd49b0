package cedarrudder.lab.model;

import cedarrudder.lab.scenario.Scenario;
import java.util.Arrays;

/**
 * Worth asked for and served, by second, tenant and class, in which tenants have shares.
 *
 * <p>What a tenant is served in a second counts whole up to its quota, a quota's worth being that
 * of this many mean requests; what is served beyond that counts little. So does what it asked for
 * beyond its quota: first what it was served stands for its share, then the rest. So a tenant over
 * its share loses nothing by what had to be rejected of it, whichever requests these were.
 */
final class PriorityLedger {

    /**
     * What it comes to. Arrays are by second, by class and by tenant (of a tenant: within its
     * share).
     */
    record Sum(
            double asked,
            double served,
            double[] askedIn,
            double[] servedIn,
            double[] askedOfClass,
            double[] servedOfClass,
            double[] askedOfTenant,
            double[] servedOfTenant) {}

    private final int seconds;
    private final int tenants;
    private final int classes;
    private final double overShare;

    /** Of each tenant, what it may be served in a second. */
    private final double[] quotas;

    private final double[] asked;
    private final double[] served;

    PriorityLedger(World world, int seconds) {
        Scenario scenario = world.scenario;
        this.seconds = seconds;
        this.classes = world.classes.size();
        this.tenants = Math.max(1, world.quotas.length);
        this.overShare = scenario.goal().overShareWorth();
        double mean = 0;
        for (int i = 0; i < classes; i++) {
            mean += world.classes.get(i).share() * scenario.classes().get(i).worth();
        }
        quotas = new double[tenants];
        Arrays.fill(quotas, Double.POSITIVE_INFINITY);
        for (int i = 0; i < world.quotas.length; i++) {
            quotas[i] = world.quotas[i] * mean;
        }
        asked = new double[seconds * tenants * classes];
        served = new double[asked.length];
    }

    private int at(int second, int tenant, int classIndex) {
        return (second * tenants + tenant) * classes + classIndex;
    }

    /** Whether a tenant has asked for as much in a second as its quota. */
    boolean isFull(int second, int tenant) {
        double sum = 0;
        for (int i = 0; i < classes; i++) {
            sum += asked[at(second, tenant, i)];
        }
        return sum >= quotas[tenant];
    }

    void asked(int second, int tenant, int classIndex, double weight) {
        asked[at(second, tenant, classIndex)] += weight;
    }

    /** By the second in which it was asked for. */
    void served(int second, int tenant, int classIndex, double weight) {
        served[at(second, tenant, classIndex)] += weight;
    }

    /** All that was asked for, whoever's share it was in. */
    double askedAtAll() {
        return Arrays.stream(asked).sum();
    }

    Sum sum() {
        Sum sum =
                new Sum(
                        0,
                        0,
                        new double[seconds],
                        new double[seconds],
                        new double[classes],
                        new double[classes],
                        new double[tenants],
                        new double[tenants]);
        for (int second = 0; second < seconds; second++) {
            for (int tenant = 0; tenant < tenants; tenant++) {
                add(second, tenant, sum);
            }
        }
        return new Sum(
                Arrays.stream(sum.askedIn()).sum(),
                Arrays.stream(sum.servedIn()).sum(),
                sum.askedIn(),
                sum.servedIn(),
                sum.askedOfClass(),
                sum.servedOfClass(),
                sum.askedOfTenant(),
                sum.servedOfTenant());
    }

    private void add(int second, int tenant, Sum sum) {
        double askedHere = 0;
        double servedHere = 0;
        for (int i = 0; i < classes; i++) {
            askedHere += asked[at(second, tenant, i)];
            servedHere += served[at(second, tenant, i)];
        }
        double quota = quotas[tenant];
        double lost = askedHere - servedHere;
        double servedShare = servedHere <= quota ? 1 : quota / servedHere;
        double capacity = Math.max(0, quota - servedHere);
        double lostShare = lost <= capacity ? 1 : capacity / lost;
        for (int i = 0; i < classes; i++) {
            double got = served[at(second, tenant, i)];
            double gone = Math.max(0, asked[at(second, tenant, i)] - got);
            double servedWeight = got * (servedShare + overShare * (1 - servedShare));
            double requestedWeight =
                    servedWeight + gone * (lostShare + overShare * (1 - lostShare));
            sum.servedIn()[second] += servedWeight;
            sum.askedOfClass()[i] += requestedWeight;
            sum.servedOfClass()[i] += servedWeight;
        }
        double within = Math.min(quota, askedHere);
        sum.askedIn()[second] += within + overShare * (askedHere - within);
        sum.askedOfTenant()[tenant] += within;
        sum.servedOfTenant()[tenant] += Math.min(quota, servedHere);
    }
}
