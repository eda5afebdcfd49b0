package cedarrudder.sim;

import cedarrudder.Balancer.Effect;
import cedarrudder.Balancer.Goal;
import cedarrudder.Balancer.KeyScope;
import cedarrudder.Balancer.Limits;
import cedarrudder.Balancer.Prices;
import cedarrudder.Balancer.RequestClass;
import cedarrudder.Balancer.Safety;
import cedarrudder.Balancer.Settings;
import cedarrudder.Balancer.Tenant;
import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.util.ArrayList;
import java.util.List;

/** Settings as the simulator sends them: a JSON object. Keys that are not known are skipped. */
final class SettingsReader {

    private final Settings settings;
    private final ReportFields fields;

    /** Reads the text; an IllegalArgumentException says what is wrong with it. */
    SettingsReader(String json) {
        JsonElement parsed;
        try {
            parsed = JsonParser.parseString(json);
        } catch (JsonParseException e) {
            throw new IllegalArgumentException("not JSON");
        }
        if (!parsed.isJsonObject()) {
            throw new IllegalArgumentException("not a JSON object");
        }
        Node root = new Node(parsed.getAsJsonObject(), "");
        List<RequestClass> classes = new ArrayList<>();
        for (Node node : root.list("request-classes", true)) {
            classes.add(new RequestClass(node.text("name", ""), effect(node), keyScope(node),
                    node.whole("goal-time-ns"), node.whole("give-up-ns"), node.number("value", 1),
                    node.number("late-worth", 0), (long) node.number("repeat-window-ns", 0),
                    node.flag("stream", false)));
        }
        List<Tenant> tenants = new ArrayList<>();
        for (Node node : root.list("tenants", false)) {
            tenants.add(new Tenant(node.text("name", ""), node.number("share", 0),
                    node.number("quota-per-s", 0)));
        }
        Node limits = root.child("limits");
        Node safety = root.child("safety");
        Node goal = root.child("goal");
        Node costs = root.child("costs");
        settings = new Settings((int) root.whole("balancers"), (int) root.whole("ordinal"),
                (int) root.number("zone", 0), (int) root.number("layer", 0),
                Math.max(1, root.array("tiers", false).size()), root.text("discovery", "push").equals("ask"),
                List.copyOf(classes), List.copyOf(tenants),
                new Limits(limits.flag("probes", false), limits.flag("cancel", false),
                        limits.flag("parallel-tries", false), limits.flag("retry-after", false),
                        (int) limits.number("max-attempts", 1), (long) limits.number("max-retry-after-ns", 0),
                        (long) limits.number("dial-timeout-ns", 0), (long) limits.number("conn-idle-ns", 0)),
                new Safety(safety.whole("stop-sending-within-ns"), safety.number("cold-share", 1),
                        (long) safety.number("ramp-time-ns", 0), safety.number("fall-multiple", 1),
                        (long) safety.number("fall-ns", 0), (long) safety.number("ask-within-ns", 0)),
                new Goal(goal.number("whole", 1), goal.number("worst-window", 0),
                        goal.number("worst-class", 0), goal.number("worst-tenant", 0),
                        root.number("over-share-worth", 1)),
                new Prices(costs.number("probe", 0), costs.number("handshake", 0)));
        List<String> names = new ArrayList<>();
        for (JsonElement name : root.child("report").array("fields", false)) {
            names.add(name.getAsString());
        }
        fields = new ReportFields(names);
    }

    Settings settings() {
        return settings;
    }

    ReportFields fields() {
        return fields;
    }

    private static Effect effect(Node node) {
        String word = node.text("idempotency", null);
        return switch (word) {
            case "retryable" -> Effect.SAFE;
            case "dedup" -> Effect.KEYED;
            case "fragile" -> Effect.UNSAFE;
            default -> throw new IllegalArgumentException("unknown idempotency '" + word + "'");
        };
    }

    private static KeyScope keyScope(Node node) {
        String word = node.text("key-scope", "all");
        return switch (word) {
            case "all" -> KeyScope.ALL;
            case "zone" -> KeyScope.ZONE;
            case "cell" -> KeyScope.CELL;
            default -> throw new IllegalArgumentException("unknown key-scope '" + word + "'");
        };
    }

    /**
     * An object of the settings and its name, for messages. A default of null (or none) makes a key required.
     */
    private record Node(JsonObject object, String path) {

        private JsonElement get(String key, boolean required) {
            JsonElement value = object.get(key);
            if (value == null || value.isJsonNull()) {
                if (required) {
                    throw new IllegalArgumentException("'" + path + key + "' is missing");
                }
                return null;
            }
            return value;
        }

        private IllegalArgumentException wrong(String key, String wanted) {
            return new IllegalArgumentException("'" + path + key + "' is not " + wanted);
        }

        double number(String key, double otherwise) {
            JsonElement value = get(key, false);
            return value == null ? otherwise : number(key, value);
        }

        private double number(String key, JsonElement value) {
            try {
                return value.getAsDouble();
            } catch (NumberFormatException | IllegalStateException | UnsupportedOperationException e) {
                throw wrong(key, "a number");
            }
        }

        long whole(String key) {
            return (long) number(key, get(key, true));
        }

        boolean flag(String key, boolean otherwise) {
            JsonElement value = get(key, false);
            if (value == null) {
                return otherwise;
            }
            if (!value.isJsonPrimitive() || !value.getAsJsonPrimitive().isBoolean()) {
                throw wrong(key, "true or false");
            }
            return value.getAsBoolean();
        }

        String text(String key, String otherwise) {
            JsonElement value = get(key, otherwise == null);
            if (value == null) {
                return otherwise;
            }
            if (!value.isJsonPrimitive()) {
                throw wrong(key, "a text");
            }
            return value.getAsString();
        }

        JsonArray array(String key, boolean required) {
            JsonElement value = get(key, required);
            if (value == null) {
                return new JsonArray();
            }
            if (!value.isJsonArray()) {
                throw wrong(key, "a list");
            }
            return value.getAsJsonArray();
        }

        List<Node> list(String key, boolean required) {
            List<Node> nodes = new ArrayList<>();
            for (JsonElement element : array(key, required)) {
                if (!element.isJsonObject()) {
                    throw wrong(key, "a list of objects");
                }
                nodes.add(new Node(element.getAsJsonObject(), path + key + "[" + nodes.size() + "]."));
            }
            return nodes;
        }

        /** A part that may be left out; what is required in it is then missing. */
        Node child(String key) {
            JsonElement value = get(key, false);
            if (value != null && !value.isJsonObject()) {
                throw wrong(key, "an object");
            }
            return new Node(value == null ? new JsonObject() : value.getAsJsonObject(), path + key + ".");
        }
    }
}
