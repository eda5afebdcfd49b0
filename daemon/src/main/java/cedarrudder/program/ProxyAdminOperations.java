package cedarrudder.program;

import cedarrudder.adminoverride.AdminOverrides;
import cedarrudder.balancer.BalancerSettings.RequestClass;
import cedarrudder.balancer.LoadBalancer.Endpoint;
import cedarrudder.bodyflow.BufferAccount;
import cedarrudder.forwarding.RequestForwarder;
import cedarrudder.metrics.RequestMetrics;
import cedarrudder.protocol.EndpointListReader;
import cedarrudder.protocol.MetricsPage;
import cedarrudder.protocol.SiteSettings;
import cedarrudder.transport.AdminOperations;
import cedarrudder.transport.HttpServer;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;

/**
 * Carries out the requests of operators at the administrative address with the parts of a proxy.
 */
final class ProxyAdminOperations implements AdminOperations {

    /**
     * The parts of a proxy that the operations use.
     *
     * @param ready whether the proxy has a list, is warmed up and listens for clients
     * @param estimate null where the operator's file has no {@code [footprint]}
     * @param listReader null where the operator's file has no {@code [footprint]}
     * @param coordination null where the operator's file has no {@code [agreement]}
     * @param drains null where the operator's file has no {@code [drains]}
     */
    record Parts(
            SiteSettings site,
            BooleanSupplier ready,
            HttpServer server,
            RequestForwarder<?, ?> forwarder,
            RequestMetrics metrics,
            BufferAccount buffers,
            EndpointAdministration endpoints,
            HandoverCoordinator handover,
            ProcessMemoryEstimate estimate,
            EndpointListReader listReader,
            CoordinationWiring coordination,
            DrainWiring drains) {}

    private final Parts parts;
    private final AdminOverrides overrides;
    private final List<String> classNames;

    ProxyAdminOperations(Parts parts) {
        this.parts = parts;
        this.overrides = parts.endpoints().overrides();
        this.classNames = parts.site().module().classes().stream().map(RequestClass::name).toList();
    }

    // ---- pages

    @Override
    public boolean isReady() {
        return parts.ready().getAsBoolean() && parts.server().isServing();
    }

    @Override
    public byte[] metrics() {
        return MetricsPage.write(
                parts.metrics(),
                classNames,
                overrides.size(),
                parts.forwarder().avoidedEndpoints(),
                parts.buffers().bufferedBytes(),
                parts.estimate() == null ? null : parts.estimate().metrics(parts.listReader()));
    }

    @Override
    public byte[] routeTable() {
        return parts.coordination() == null
                ? null
                : RouteTablePage.write(
                        parts.coordination().coordinator(), parts.site().zones(), overrides::name);
    }

    @Override
    public byte[] drains() {
        return parts.drains() == null
                ? null
                : DrainsPage.write(parts.drains().progress(), overrides::name);
    }

    // ---- coordination among replicas

    @Override
    public OperationResult formGroup() {
        return parts.coordination().coordinator().formGroup()
                ? OperationResult.DONE
                : OperationResult.UNAVAILABLE;
    }

    @Override
    public void changeDrains(
            DrainTarget which, String name, boolean cancel, Consumer<OperationResult> then) {
        List<Long> chosen =
                overrides.listed().entrySet().stream()
                        .filter(entry -> matches(which, name, entry.getKey(), entry.getValue()))
                        .map(entry -> entry.getValue().id())
                        .sorted()
                        .toList();
        if (chosen.isEmpty()) {
            then.accept(OperationResult.UNKNOWN_ENDPOINT);
        } else {
            parts.drains()
                    .proposeAdminRequest(parts.coordination().coordinator(), cancel, chosen, then);
        }
    }

    private boolean matches(
            DrainTarget which, String name, String endpointName, Endpoint endpoint) {
        return switch (which) {
            case NODE -> endpointName.equals(name);
            case ZONE -> isNamed(parts.site().zones(), name, endpoint.zone());
            case POD -> Integer.toString(endpoint.cell()).equals(name);
            case KIND -> isNamed(parts.site().kinds(), name, endpoint.kind());
        };
    }

    private static boolean isNamed(List<String> names, String name, int index) {
        return index >= 0 && names.indexOf(name) == index;
    }

    // ---- endpoints disabled by operators

    @Override
    public OperationResult disable(String name) {
        if (!overrides.isKnown(name)) {
            return OperationResult.UNKNOWN_ENDPOINT;
        }
        return persistThen(state -> state.disable(name), () -> parts.endpoints().disable(name));
    }

    @Override
    public OperationResult enable(String name) {
        if (!overrides.isKnown(name)) {
            return OperationResult.UNKNOWN_ENDPOINT;
        }
        return persistThen(state -> state.enable(name), () -> parts.endpoints().enable(name));
    }

    // ---- draining by operators

    @Override
    public OperationResult drain() {
        return persistThen(PersistedAdminState::drain, parts.server()::drainByOperator);
    }

    @Override
    public OperationResult resume() {
        if (!parts.server().isServing()) {
            return OperationResult.UNAVAILABLE;
        }
        return persistThen(PersistedAdminState::resume, parts.server()::resumeByOperator);
    }

    private OperationResult persistThen(HandoverCoordinator.Change change, Runnable action) {
        if (!parts.handover().persist(change)) {
            return OperationResult.UNAVAILABLE;
        }
        action.run();
        return OperationResult.DONE;
    }
}
