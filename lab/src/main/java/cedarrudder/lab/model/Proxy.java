package cedarrudder.lab.model;

import cedarrudder.balancer.LoadBalancer.ZoneTrafficShare;
import java.util.List;

/**
 * A proxy over the whole run, as the world round it sees it: it may die and come back. The model
 * plays its inside in virtual time; the emulator puts a process in its place.
 */
public abstract class Proxy {

    public final Run run;

    /** Its number over the whole run. */
    public final int number;

    /** The tier that it sends to. */
    public final int tier;

    /** Its number among the proxies of that tier. */
    public final int self;

    public final int zone;

    protected Proxy(Run run, int number, int tier, int self, int zone) {
        this.run = run;
        this.number = number;
        this.tier = tier;
        this.self = self;
        this.zone = zone;
    }

    /** Whether it runs, ready or not. */
    protected abstract boolean up();

    /** Starts it, with the list that it last had; {@code whenReady} once it takes requests. */
    protected abstract void start(Runnable whenReady);

    /** Its machine is another one: it starts with the list as it is then. */
    protected abstract void forget();

    /** It dies with all that it has taken; without effect where it is down. */
    protected abstract void die();

    /** A caller tries it. */
    protected abstract Pending take(Caller caller, ClientAttempt what);

    /**
     * Tells its decisions which part of its calls each zone may get; without effect where it is
     * down, and at a process, which has it from the other processes. Its next life knows nothing of
     * it.
     */
    public void shares(List<ZoneTrafficShare> shares) {}

    /** Discovery is back, and tells those again that it tells unasked. */
    protected abstract void tellAgain();

    /** A try on its way, as its caller holds it. */
    public interface Pending {

        /** The caller goes; it is told nothing more. */
        void leave();
    }
}
