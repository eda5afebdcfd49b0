package kit;

/** The settings of a small deployment: three classes, one of each effect. */
public final class Settings {
    private Settings() {}

    public static String small() {
        return small("cell");
    }

    public static String small(String scope) {
        return """
               {"balancers":1,"ordinal":0,"layer":0,"tiers":["api"],"zone":0,"localities":["room"],
                "kinds":["standard"],"discovery":"ask","family":"chain","weights":"nominal",
                "worth-by":"request","over-share-worth":0.05,"tick-ns":2000000,
                "tenants":[{"name":"acme","share":1.0,"quota-per-s":1000.0}],
                "request-classes":[
                 {"name":"lookup","idempotency":"retryable","key-scope":"all","goal-time-ns":300000000,
                  "give-up-ns":750000000,"value":5.0,"late-worth":0.0,"repeat-window-ns":5000000000,"stream":false},
                 {"name":"order","idempotency":"fragile","key-scope":"all","goal-time-ns":1000000000,
                  "give-up-ns":2500000000,"value":2.0,"late-worth":0.0,"repeat-window-ns":5000000000,"stream":false},
                 {"name":"booking","idempotency":"dedup","key-scope":"SCOPE","goal-time-ns":2000000000,
                  "give-up-ns":5000000000,"value":8.0,"late-worth":0.0,"repeat-window-ns":7500000000,"stream":false}],
                "client-habits":{"marks-retry":false},
                "limits":{"cancel":true,"parallel-tries":true,"probes":true,"retry-after":true,"max-attempts":4,
                 "max-retry-after-ns":2000000000,"dial-timeout-ns":120000000,"conn-idle-ns":30000000000,
                 "may-tell":true,"most-held":36571,"streams-per-conn":1,"cpu-us-per-request":0.0,"cpu-us-per-s":914289},
                "report":{"fields":["latency_ms","inflight","util"],"via":"probe"},
                "safety":{"stop-sending-within-ns":2000000000,"cold-share":0.12,"ramp-time-ns":23000000000,
                 "fall-multiple":3.0,"fall-ns":3000000000,"ask-within-ns":10000000000,"grace-to-answer-ns":8000000},
                "costs":{"connection":0.0,"cross-zone":0.0,"discovery":0.0,"handshake":0.0,"late-fail":0.03,
                 "moves":0.0,"origin":0.0,"peer":0.01,"probe":0.01,"waste":0.02},
                "extra":{"passes-deadline":false},
                "goal":{"whole":0.6,"worst-window":0.1,"worst-class":0.2,"worst-tenant":0.1}}
               """
                .replace("SCOPE", scope)
                .replace("\n", " ");
    }
}
