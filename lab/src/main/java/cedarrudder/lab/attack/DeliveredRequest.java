package cedarrudder.lab.attack;

/**
 * A request that reached a node.
 *
 * @param id what its {@code Req-Id} says; empty where there is none
 * @param unsound why it is no request that a proxy may send; null: it is sound
 */
record DeliveredRequest(String id, String unsound) {}
