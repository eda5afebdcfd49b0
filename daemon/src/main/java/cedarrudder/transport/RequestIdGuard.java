package cedarrudder.transport;

import cedarrudder.balancer.BalancerSettings.Idempotency;
import cedarrudder.balancer.BalancerSettings.KeyScope;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.LoadBalancer.Request;
import cedarrudder.forwarding.RepeatGuard;
import cedarrudder.forwarding.StartedRequestIds;
import cedarrudder.forwarding.TimerService;
import cedarrudder.protocol.HttpMessage;
import java.util.List;

/**
 * Denies requests whose {@code Req-Id} may have run already, as their class requires: a safe one
 * may always run again; a keyed one while all endpoints recognize its key; an unsafe one never.
 */
public final class RequestIdGuard implements RepeatGuard<HttpMessage> {

    private final List<RequestClass> classes;
    private final StartedRequestIds ids;
    private final TimerService clock;

    /** Creates a guard for requests of these classes. */
    public RequestIdGuard(List<RequestClass> classes, StartedRequestIds ids, TimerService clock) {
        this.classes = classes;
        this.ids = ids;
        this.clock = clock;
    }

    @Override
    public Permission start(Request request, HttpMessage content) {
        RequestClass requestClass = classes.get(request.classIndex());
        if (requestClass.idempotency() == Idempotency.SAFE) {
            return Permission.REPEATABLE;
        }
        long now = clock.now();
        long since = ids.addIfAbsent(id(content), now);
        if (since == StartedRequestIds.ABSENT) {
            return Permission.FIRST;
        }
        boolean recognized =
                requestClass.idempotency() == Idempotency.KEYED
                        && requestClass.keyScope() == KeyScope.ALL
                        && now < since + requestClass.keyWindowNanos();
        return recognized ? Permission.REPEATABLE : Permission.DENIED;
    }

    @Override
    public boolean mayRunTwice(Request request) {
        return classes.get(request.classIndex()).idempotency() != Idempotency.UNSAFE;
    }

    @Override
    public void forget(HttpMessage content) {
        ids.remove(id(content));
    }

    @Override
    public void answered(HttpMessage content) {
        ids.markAnswered(id(content));
    }

    private static String id(HttpMessage content) {
        return content.head().fields().get("req-id");
    }
}
